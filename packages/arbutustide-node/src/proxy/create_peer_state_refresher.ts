import type {ClusterNode} from '@arbutustide/membership';
import type {DependencyContainer} from 'tsyringe';

import type {ProxyDependencies} from './proxy_dependencies.js';

import {PeerStateRefresher} from './peer_state_refresher.js';
import {ProxyToken} from './proxy_tokens.js';
import {
  CONFIGURATION_GRACE_SHARE,
  UPSTREAMS_STALE_SHARE,
} from './proxy_tuning.js';
import {SnapshotSourceChooser} from './snapshot_source_chooser.js';

/** Creates the part of a node that learns from peers what the store omits. */
export function createPeerStateRefresher(
  container: DependencyContainer,
  {transport, settings, random, logger}: ProxyDependencies,
  listPeers: () => readonly ClusterNode[],
): PeerStateRefresher {
  const {changeBoundMilliseconds, failureDomain} = settings;
  const upstreamsStaleMilliseconds =
    changeBoundMilliseconds * UPSTREAMS_STALE_SHARE;
  return new PeerStateRefresher({
    transport,
    listPeers,
    configurationWatcher: container.resolve(ProxyToken.CONFIGURATION_WATCHER),
    upstreamWatcher: container.resolve(ProxyToken.UPSTREAM_WATCHER),
    chooser: new SnapshotSourceChooser({
      configurationGraceMilliseconds:
        changeBoundMilliseconds * CONFIGURATION_GRACE_SHARE,
      upstreamsStaleMilliseconds,
      ownFailureDomain: failureDomain,
      random,
    }),
    maximumAgeMilliseconds: upstreamsStaleMilliseconds,
    logger,
  });
}
