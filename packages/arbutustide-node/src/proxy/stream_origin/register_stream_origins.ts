import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';

import {ProxyToken} from '../proxy_tokens.js';
import {MINIMUM_STREAM_LIFETIME_MILLISECONDS} from '../proxy_tuning.js';
import {ClusterStreamOrigins} from './cluster_stream_origins.js';

/** Registers what remembers where streams began. */
export function registerStreamOrigins(
  register: RegisterSingleton,
  {transport, logger}: ProxyDependencies,
  {peerUrl}: PeerIdentity,
): void {
  register(ProxyToken.STREAM_ORIGINS, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
    return new ClusterStreamOrigins({
      ownUrl: peerUrl,
      listNodes: () => clusterView.nodes(),
      directory: container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      transport,
      streamLifetimeMilliseconds: () =>
        Math.max(
          MINIMUM_STREAM_LIFETIME_MILLISECONDS,
          watcher.routes?.longestTimeoutMilliseconds ?? 0,
        ),
      logger,
    });
  });
}
