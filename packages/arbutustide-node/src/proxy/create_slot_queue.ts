import type {RoutedRequestProgress, UpstreamChoice} from '@arbutustide/routing';

import type {ProxyDependencies} from './proxy_dependencies.js';
import type {ProxySettings} from './proxy_settings.js';
import type {DependencyContainer} from 'tsyringe';

import {
  chooseRateLimited,
  chooseUpstream,
  expectedAcceptanceMilliseconds,
  NoUpstreamReason,
  ProxyUpstream,
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
  return new SlotQueue({
    chooseUpstream: createUpstreamChooser(container, settings, random),
    predictWaitMilliseconds: (progress, reason, ahead) => {
      const {service, modelRequest} = progress.request;
      if (reason === NoUpstreamReason.NOT_HELD) {
        return (
          modelRequest &&
          holdingRequester.expectedWaitMilliseconds(service, modelRequest)
        );
      }
      const upstreams = upstreamDirectory.listByService(service);
      return Math.max(
        tuning.MINIMUM_SERVICE_MILLISECONDS,
        expectedAcceptanceMilliseconds(upstreams, modelRequest, ahead),
      );
    },
    minimumServiceMilliseconds: () => tuning.MINIMUM_SERVICE_MILLISECONDS,
    onNotHeld: ({request: {service, modelRequest}}) => {
      if (modelRequest) holdingRequester.requestHolding(service, modelRequest);
    },
    observer: container.resolve(ProxyToken.DEMAND_COUNTER),
  });
}

/**
 * Creates the choice of an upstream for a request, which also asks for tokens of
 * upstreams that limit their rate.
 */
function createUpstreamChooser(
  container: DependencyContainer,
  {failureDomain}: ProxySettings,
  random: () => number,
): (progress: RoutedRequestProgress) => UpstreamChoice {
  const upstreamDirectory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const tokenRequester = container.resolve(ProxyToken.TOKEN_REQUESTER);
  return ({request: {service, modelRequest}, triedUpstreams}) => {
    const settings = {
      ownFailureDomain: failureDomain,
      crossDomainShare: tuning.CROSS_DOMAIN_SLOT_SHARE,
      random,
      fullShare: modelRequest
        ? tuning.ENGINE_IN_FLIGHT_SLOT_SHARE
        : tuning.SERVICE_IN_FLIGHT_SLOT_SHARE,
    };
    const candidates = [...upstreamDirectory.listByService(service)];
    const choice = chooseUpstream(
      candidates,
      modelRequest,
      triedUpstreams,
      settings,
    );
    const limited = chooseRateLimited(
      candidates,
      modelRequest,
      triedUpstreams,
      settings,
    );
    if (limited)
      tokenRequester.request(limited, !(choice instanceof ProxyUpstream));
    return choice;
  };
}
