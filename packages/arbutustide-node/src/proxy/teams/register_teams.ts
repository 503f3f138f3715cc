import type {ClusterNode} from '@arbutustide/membership';
import type {DependencyContainer} from 'tsyringe';

import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';

import {NodeState, ProtocolLevel} from '@arbutustide/membership';
import {
  Authenticator,
  ConfigurationFreshness,
  KeyTableCache,
  TeamGate,
} from '@arbutustide/teams';

import {ProxyToken} from '../proxy_tokens.js';
import {ConfigurationWatcher} from '../configuration_watcher.js';
import {chooseWatchRelays} from '../watch_relay/choose_watch_relays.js';
import {ConfigurationConfirmer} from './configuration_confirmer.js';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Time for which nodes that confirm the configuration for others hold a watch
 * open, as a share of the time until a revocation must be in effect. A watch
 * without changes confirms the time at which it was sent, so the age of their
 * confirmations stays below twice this.
 */
const CONFIRMING_WATCH_SHARE = 0.2;

/**
 * Registers what reads and confirms the configuration, authenticates callers by
 * it, and admits requests of teams.
 */
export function registerTeams(
  register: RegisterSingleton,
  dependencies: ProxyDependencies,
  identity: PeerIdentity,
): void {
  const {isClosed, boundMilliseconds} = dependencies.settings.revocation;
  register(
    ProxyToken.CONFIGURATION_WATCHER,
    container =>
      new ConfigurationWatcher(
        {
          ...dependencies,
          store: container.resolve(ProxyToken.RELAYED_STORE),
        },
        {
          watchMilliseconds: () =>
            confirmingWatchMilliseconds(container, dependencies, identity),
        },
      ),
  );
  register(ProxyToken.KEY_TABLES, () => new KeyTableCache());
  register(
    ProxyToken.CONFIGURATION_FRESHNESS,
    () => new ConfigurationFreshness({isRequired: isClosed, boundMilliseconds}),
  );
  register(ProxyToken.CONFIGURATION_CONFIRMER, container =>
    createConfirmer(container, dependencies, identity),
  );
  register(
    ProxyToken.AUTHENTICATOR,
    container =>
      new Authenticator(
        container.resolve(ProxyToken.KEY_TABLES),
        container.resolve(ProxyToken.CONFIGURATION_FRESHNESS),
        ({kind, ran}) => dependencies.metrics.refusals.inc({kind, ran}),
      ),
  );
  register(ProxyToken.REQUEST_GATE, container => {
    const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
    return new TeamGate({
      currentConfiguration: () => watcher.routes?.configuration,
      keyTables: container.resolve(ProxyToken.KEY_TABLES),
      freshness: container.resolve(ProxyToken.CONFIGURATION_FRESHNESS),
      quotas: container.resolve(ProxyToken.TEAM_QUOTAS),
    });
  });
}

/**
 * Time to hold a watch on the configuration open; undefined for the store's
 * usual time: if no keys need to be confirmed, or if this node asks another one
 * of its failure domain, which confirms them for it.
 */
function confirmingWatchMilliseconds(
  container: DependencyContainer,
  {settings}: ProxyDependencies,
  {identity}: PeerIdentity,
): number | undefined {
  const {boundMilliseconds} = settings.revocation;
  if (!container.resolve(ProxyToken.CONFIGURATION_CONFIRMER).isNeeded)
    return undefined;
  const sources = chooseWatchRelays(
    container.resolve(ProxyToken.CLUSTER_VIEW).nodes(),
    identity,
    settings.failureDomain,
  );
  if (sources.length > 0) return undefined;
  return boundMilliseconds * CONFIRMING_WATCH_SHARE;
}

function createConfirmer(
  container: DependencyContainer,
  {settings, store, transport, random, logger, metrics}: ProxyDependencies,
  {identity}: PeerIdentity,
): ConfigurationConfirmer {
  const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
  const answers = (node: ClusterNode) =>
    node.identity !== identity &&
    node.state === NodeState.READY &&
    node.protocolLevel >= ProtocolLevel.TEAMS;
  return new ConfigurationConfirmer({
    freshness: container.resolve(ProxyToken.CONFIGURATION_FRESHNESS),
    watcher: container.resolve(ProxyToken.CONFIGURATION_WATCHER),
    store,
    transport,
    listPeers: () => clusterView.nodes().filter(answers),
    listSources: () =>
      chooseWatchRelays(
        clusterView.nodes(),
        identity,
        settings.failureDomain,
      ).filter(answers),
    publishedVersion: () =>
      Math.max(
        ...clusterView.nodes().map(({catalogueRevision}) => catalogueRevision),
      ),
    reachableShare: () =>
      container.resolve(ProxyToken.REACHABLE_SHARE).update(),
    recordAge: milliseconds =>
      metrics.configurationAgeSeconds.set(
        milliseconds / MILLISECONDS_PER_SECOND,
      ),
    random,
    logger,
  });
}
