import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';

import {TokenIssuer} from '@arbutustide/routing';

import {ProxyToken} from '../proxy_tokens.js';
import {INITIAL_NODE_COUNT} from '../proxy_tuning.js';
import {chooseTokenIssuer} from './choose_token_issuer.js';
import {ReachableShare} from './reachable_share.js';
import {TokenRequester} from './token_requester.js';

/** Registers what keeps the rate limits of upstreams. */
export function registerRateLimits(
  register: RegisterSingleton,
  {settings, transport, logger}: ProxyDependencies,
  {identity, peerUrl}: PeerIdentity,
): void {
  const hasOtherSeeds = settings.seedAddresses.some(
    address => !peerUrl.includes(`//${address}:`),
  );
  register(ProxyToken.REACHABLE_SHARE, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new ReachableShare(
      () => new Set(clusterView.nodes().map(node => node.peerUrl)).size,
      hasOtherSeeds ? INITIAL_NODE_COUNT : 1,
    );
  });
  register(ProxyToken.TOKEN_ISSUER, container => {
    const reachableShare = container.resolve(ProxyToken.REACHABLE_SHARE);
    return new TokenIssuer(() => reachableShare.update());
  });
  register(ProxyToken.TOKEN_REQUESTER, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new TokenRequester({
      identity,
      chooseIssuer: process => chooseTokenIssuer(clusterView.nodes(), process),
      countNodes: () => clusterView.nodes().length,
      ownIssuer: container.resolve(ProxyToken.TOKEN_ISSUER),
      transport,
      onTokenValid: () =>
        container.resolve(ProxyToken.REQUEST_QUEUE).scheduleScan(),
      logger,
    });
  });
}
