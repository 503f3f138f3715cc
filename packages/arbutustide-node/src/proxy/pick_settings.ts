import type {PickSettings} from '@arbutustide/routing';

import type {ProxyDependencies} from './proxy_dependencies.js';
import type {DependencyContainer} from 'tsyringe';

import {createLeavingRecorder} from './leaving_metrics.js';
import {ProxyToken} from './proxy_tokens.js';
import * as tuning from './proxy_tuning.js';

/**
 * Returns what the choice among a service's upstreams depends on. An upstream
 * whose slots are taken has room for an urgent request.
 */
export function pickSettingsFactory(
  container: DependencyContainer,
  {settings, metrics, random}: ProxyDependencies,
): (service: string, isEngine: boolean, isUrgent: boolean) => PickSettings {
  const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
  const {
    failureDomain: ownFailureDomain,
    crossDomainPriceShare: priceShare = tuning.CROSS_DOMAIN_PRICE_SHARE,
  } = settings;
  return (service, isEngine, isUrgent) => ({
    ownFailureDomain,
    priceShare,
    requestMilliseconds: isEngine
      ? tuning.ENGINE_REQUEST_MILLISECONDS
      : undefined,
    fullShare:
      (isUrgent ? tuning.URGENT_SLOT_FACTOR : 1) *
      (isEngine
        ? tuning.ENGINE_IN_FLIGHT_SLOT_SHARE
        : tuning.SERVICE_IN_FLIGHT_SLOT_SHARE),
    senderCount: clusterView.readyNodeCount(),
    random,
    onLeavingDecision: createLeavingRecorder(metrics, service),
  });
}
