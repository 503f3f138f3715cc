import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';

import {ProxyToken} from '../proxy_tokens.js';
import {
  MINIMUM_STREAM_LIFETIME_MILLISECONDS,
  UPSTREAMS_STALE_SHARE,
} from '../proxy_tuning.js';
import {ClusterStreamOrigins} from './cluster_stream_origins.js';

/** For which missed changes are told; longer than between two looks at it. */
const MISSED_CHANGES_MILLISECONDS = 1_000;

/** Registers what remembers where streams began. */
export function registerStreamOrigins(
  register: RegisterSingleton,
  {
    settings,
    store,
    streamOrigins: storage,
    transport,
    random,
    logger,
  }: ProxyDependencies,
  {peerUrl}: PeerIdentity,
): void {
  register(ProxyToken.STREAM_ORIGINS, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
    const upstreamWatcher = container.resolve(ProxyToken.UPSTREAM_WATCHER);
    const staleMilliseconds =
      settings.changeBoundMilliseconds * UPSTREAMS_STALE_SHARE;
    return new ClusterStreamOrigins({
      ownUrl: peerUrl,
      listNodes: () => clusterView.nodes(),
      directory: container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      isListReceived: () => upstreamWatcher.isInitialized,
      isListCurrent: () =>
        upstreamWatcher.silentMilliseconds < staleMilliseconds &&
        performance.now() - upstreamWatcher.missedChangesAtMilliseconds >
          MISSED_CHANGES_MILLISECONDS,
      listSource: {
        get confirmedAtMilliseconds() {
          return upstreamWatcher.confirmedAtMilliseconds;
        },
        readPendingEntries: () => upstreamWatcher.readPendingEntries(store),
      },
      store,
      storage,
      transport,
      streamLifetimeMilliseconds: () =>
        Math.max(
          MINIMUM_STREAM_LIFETIME_MILLISECONDS,
          watcher.routes?.longestTimeoutMilliseconds ?? 0,
        ),
      random,
      logger,
    });
  });
}
