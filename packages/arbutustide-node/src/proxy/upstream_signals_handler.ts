import type {
  ProxyUpstreamDirectory,
  UpstreamSignalsHandler,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {DepartureSource} from '@arbutustide/routing';

/** Creates the handler of what upstreams say of themselves in answers. */
export function createUpstreamSignalsHandler(
  directory: ProxyUpstreamDirectory,
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
    }
    if (!signals.isLeaving) return;
    if (isReady)
      logger.info({upstream: id}, 'upstream says that it is leaving');
    directory.markLeaving(description, DepartureSource.ANSWER);
  };
}
