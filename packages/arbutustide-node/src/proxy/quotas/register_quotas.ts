import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';

import {ProxyToken} from '../proxy_tokens.js';
import {ClusterTeamQuotas} from './cluster_team_quotas.js';
import {ConfiguredLimits} from './configured_limits.js';
import {expectedNodeCount} from './expected_node_count.js';
import {QuotaMembership} from './quota_membership.js';
import {
  DEFAULT_QUOTA_RULE,
  LONE_NODE_COUNT,
  SEED_MILLISECONDS,
  SHARE_RETENTION_MILLISECONDS,
} from './quota_tuning.js';
import {ReachableNodes} from './reachable_nodes.js';
import {recordQuotaEvent} from './record_quota_event.js';

/** Registers what keeps the quotas of teams. */
export function registerQuotas(
  register: RegisterSingleton,
  {settings, transport, metrics, random, logger}: ProxyDependencies,
  {identity, peerUrl}: PeerIdentity,
): void {
  const rule = settings.quotaRule ?? DEFAULT_QUOTA_RULE;
  const seedUrls = settings.seedAddresses.map(
    address => `http://${address}:${settings.peerPort}`,
  );
  const mayHavePeers = seedUrls.some(url => url !== peerUrl);
  register(ProxyToken.TEAM_QUOTAS, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
    const startedAt = performance.now();
    const reachableNodes = new ReachableNodes({
      listNodes: () => clusterView.nodes(),
      initialNodeCount: mayHavePeers
        ? Math.max(LONE_NODE_COUNT, seedUrls.length)
        : 1,
      retentionMilliseconds: SHARE_RETENTION_MILLISECONDS,
      countExpected: knownUrls => {
        const isStarting = performance.now() - startedAt < SEED_MILLISECONDS;
        return expectedNodeCount(knownUrls, isStarting ? seedUrls : []);
      },
    });
    return new ClusterTeamQuotas({
      identity,
      rule,
      limits: new ConfiguredLimits(() => watcher.routes?.configuration, rule),
      membership: new QuotaMembership({
        identity,
        listNodes: () => clusterView.nodes(),
        reachableShare: () => reachableNodes.update(),
        mayHavePeers,
      }),
      countNodes: () => clusterView.nodes().length,
      transport,
      onEvent: (team, event, amount) =>
        recordQuotaEvent(metrics, team, event, amount),
      suspensionToleranceMilliseconds: settings.suspensionToleranceMilliseconds,
      random,
      logger,
    });
  });
}
