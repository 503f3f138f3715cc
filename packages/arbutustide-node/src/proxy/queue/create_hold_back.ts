import type {ServiceOrder} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import {HoldBack, Standing} from '@arbutustide/routing';

import {ProxyToken} from '../proxy_tokens.js';

/** Creates what leaves free slots to more urgent requests at the peers. */
export function createHoldBack(
  container: DependencyContainer,
  order: ServiceOrder,
): HoldBack {
  const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
  return new HoldBack({
    peerDemand: entryName => clusterView.peerDemands().get(entryName),
    hasSeveralClasses: () => order.hasSeveralClasses(),
    isFavoured: progress => order.standingOf(progress) === Standing.FAVOURED,
  });
}
