import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {Settings} from '@arbutustide/settings';

import type {NodeCore} from './node_core.js';

import {predictedMilliseconds} from '@arbutustide/routing';

/** Why one replica would or would not be taken. */
export interface ReplicaExplanation {
  readonly upstream: string;
  readonly item: string | undefined;
  readonly failureDomain: string;
  readonly ownInFlight: number;
  readonly peerInFlight: number;
  readonly predictedMilliseconds: number;
}

/** Where a request to an entry would go from this node, best first. */
export interface EntryExplanation {
  readonly entry: string;
  readonly node: string;
  readonly catalogueRevision: number;
  readonly replicas: readonly ReplicaExplanation[];
}

/** Explains where a request to an entry would go from this node now. */
export function explainEntry(
  entry: CatalogueEntry,
  core: NodeCore,
  settings: Settings,
): EntryExplanation {
  const {routing, node} = settings;
  const item = core.holder.current?.itemName(entry) ?? '';
  const peerLoad = (upstreamId: string) =>
    core.clusterView.peerLoad(upstreamId);
  const replicas = core.upstreamDirectory
    .readyReplicas(entry, item)
    .map(replica => ({
      upstream: replica.upstream.id,
      item: replica.item,
      failureDomain: replica.upstream.failureDomain,
      ownInFlight: replica.upstream.ownInFlight,
      peerInFlight: peerLoad(replica.upstream.id),
      predictedMilliseconds: predictedMilliseconds(replica, false, {
        ownFailureDomain: node.failureDomain,
        peerLoad,
        serviceMilliseconds: core.serviceMilliseconds(entry),
        upstreamConcurrency: routing.upstreamConcurrency,
        crossDomainMilliseconds: routing.crossDomainMilliseconds,
        prefixMilliseconds: 0,
        prefixDigest: undefined,
        sampleSize: routing.sampleSize,
        random: Math.random,
      }),
    }));
  return {
    entry: entry.name,
    node: node.name,
    catalogueRevision: core.holder.revision,
    replicas: replicas.toSorted(
      (left, right) => left.predictedMilliseconds - right.predictedMilliseconds,
    ),
  };
}
