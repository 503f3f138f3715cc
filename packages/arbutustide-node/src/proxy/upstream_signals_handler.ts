import type {
  BrittleServices,
  ProxyUpstream,
  ProxyUpstreamDirectory,
  UpstreamSignals,
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
  brittleServices: BrittleServices,
  onRateLimitChange: (upstream: ProxyUpstream) => void,
  logger: NodeLogger,
): UpstreamSignalsHandler {
  const recordBrittleness = (
    service: string,
    {survivedRejectionsPerSecond}: UpstreamSignals,
    sentAtMilliseconds: number | undefined,
  ) => {
    const before = brittleServices.rejectionsPerSecond(service);
    brittleServices.record(
      service,
      survivedRejectionsPerSecond,
      sentAtMilliseconds,
    );
    const after = brittleServices.rejectionsPerSecond(service);
    if (before === after) return;
    logger.info(
      {service, survivedRejectionsPerSecond: after ?? null},
      'brittleness of a service has changed',
    );
  };
  return (upstream, signals, unlimitedSinceMilliseconds) => {
    const {id, isReady, description} = upstream;
    recordBrittleness(description.service, signals, unlimitedSinceMilliseconds);
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
