import type {SlotHoldTimes} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import {
  CompetingRequests,
  compatibleUpstreams,
  EarlyRefusal,
  effectivePriority,
  expectedWaitMilliseconds,
} from '@arbutustide/routing';

import {ProxyToken} from '../proxy_tokens.js';
import * as tuning from '../proxy_tuning.js';

/**
 * Creates the refusal of requests that would wait for too long, by what this
 * node has measured and what its peers publish.
 */
export function createEarlyRefusal(
  container: DependencyContainer,
  holdTimes: SlotHoldTimes,
  random: () => number,
): EarlyRefusal {
  const directory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const demandCounter = container.resolve(ProxyToken.DEMAND_COUNTER);
  const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
  const competing = new CompetingRequests({
    listOwnQueued: () => demandCounter.queuedByPriority(),
    listPeerDemands: () => clusterView.peerDemands(),
  });
  return new EarlyRefusal({
    random,
    expectedWaitMilliseconds: (progress, position) => {
      const {service, modelRequest} = progress.request;
      const holdMilliseconds = holdTimes.meanMilliseconds(service);
      if (holdMilliseconds === undefined) return undefined;
      return expectedWaitMilliseconds({
        upstreams: [
          ...compatibleUpstreams(directory.listByService(service), progress),
        ],
        reference: modelRequest,
        holdMilliseconds,
        fullShare: modelRequest
          ? tuning.ENGINE_IN_FLIGHT_SLOT_SHARE
          : tuning.SERVICE_IN_FLIGHT_SLOT_SHARE,
        ahead: position.ahead,
        competing: competing.list({
          service,
          model: modelRequest?.model,
          priority: effectivePriority(progress.request),
          position,
        }),
      });
    },
  });
}
