import type {ProxyDependencies} from './proxy_dependencies.js';
import type {DependencyContainer} from 'tsyringe';

import {
  chooseUpstream,
  NoUpstreamReason,
  remainingBackOffMilliseconds,
  SlotQueue,
} from '@arbutustide/routing';

import {ProxyToken} from './proxy_tokens.js';
import * as tuning from './proxy_tuning.js';

/** Creates the queue of requests that wait for a slot at an upstream. */
export function createSlotQueue(
  container: DependencyContainer,
  {settings, random}: ProxyDependencies,
): SlotQueue {
  const upstreamDirectory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const holdingRequester = container.resolve(ProxyToken.HOLDING_REQUESTER);
  const choiceSettings = {
    ownFailureDomain: settings.failureDomain,
    crossDomainShare: tuning.CROSS_DOMAIN_SLOT_SHARE,
    random,
  };
  return new SlotQueue({
    chooseUpstream: ({request, triedUpstreams: tried}) =>
      chooseUpstream(
        upstreamDirectory.listByService(request.service),
        request.modelRequest,
        tried,
        {
          ...choiceSettings,
          fullShare: request.modelRequest
            ? tuning.ENGINE_IN_FLIGHT_SLOT_SHARE
            : tuning.SERVICE_IN_FLIGHT_SLOT_SHARE,
        },
      ),
    predictWaitMilliseconds: ({request: {service, modelRequest}}, reason) => {
      if (reason === NoUpstreamReason.FULL) {
        return Math.max(
          tuning.MINIMUM_SERVICE_MILLISECONDS,
          remainingBackOffMilliseconds(
            upstreamDirectory.listByService(service),
            modelRequest,
          ),
        );
      }
      return (
        modelRequest &&
        holdingRequester.expectedWaitMilliseconds(service, modelRequest)
      );
    },
    minimumServiceMilliseconds: () => tuning.MINIMUM_SERVICE_MILLISECONDS,
    onNotHeld: ({request: {service, modelRequest}}) => {
      if (modelRequest) holdingRequester.requestHolding(service, modelRequest);
    },
    observer: container.resolve(ProxyToken.DEMAND_COUNTER),
  });
}
