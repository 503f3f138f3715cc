import type {
  ProxyUpstream,
  ProxyUpstreamDirectory,
  UpstreamSignalsHandler,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {DepartureSource} from '@arbutustide/routing';

/**
 * Creates the handler of what upstreams say of themselves in answers.
 *
 * @param onRateLimitChange called when an answer has changed a rate limit.
 */
export function createUpstreamSignalsHandler(
  directory: ProxyUpstreamDirectory,
  onRateLimitChange: (upstream: ProxyUpstream) => void,
  logger: NodeLogger,
): UpstreamSignalsHandler {
  return (upstream, signals, unlimitedSinceMilliseconds) => {
    const {id, isReady, description} = upstream;
    if (upstream.recordSignals(signals, unlimitedSinceMilliseconds)) {
      const {requestsPerSecond} = upstream.rateLimit.observation;
      logger.info(
        {upstream: id, requestsPerSecond: requestsPerSecond ?? null},
        'rate limit of an upstream has changed',
      );
      onRateLimitChange(upstream);
    }
    if (!signals.isLeaving) return;
    if (isReady)
      logger.info({upstream: id}, 'upstream says that it is leaving');
    directory.markLeaving(description, DepartureSource.ANSWER);
  };
}
