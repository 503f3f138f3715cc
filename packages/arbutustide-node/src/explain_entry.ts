import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {Settings} from '@arbutustide/settings';

import type {NodeCore} from './node_core.js';

import {predictedMilliseconds} from '@arbutustide/routing';

/** The inputs to replica selection for one ready replica. */
export interface ReplicaExplanation {
  readonly upstream: string;
  readonly item: string | undefined;
  readonly failureDomain: string;
  readonly ownInFlight: number;
  readonly peerInFlight: number;
  readonly predictedMilliseconds: number;
}

/**
 * How this node would route a request to a catalogue entry: its ready replicas,
 * lowest predicted time first.
 */
export interface EntryExplanation {
  readonly entry: string;
  readonly node: string;
  readonly catalogueRevision: number;
  readonly replicas: readonly ReplicaExplanation[];
}

/**
 * Explains how this node would route a request to the entry now. The request is
 * assumed to have no prompt prefix that a replica may have cached.
 */
export function explainEntry(
  entry: CatalogueEntry,
  core: NodeCore,
  settings: Settings,
): EntryExplanation {
  const {routing, node} = settings;
  const item = core.catalogueHolder.current?.itemName(entry) ?? '';
  const peerLoad = (upstreamId: string) =>
    core.clusterView.peerRequestsInFlight(upstreamId);
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
    catalogueRevision: core.catalogueHolder.revision,
    replicas: replicas.toSorted(
      (left, right) => left.predictedMilliseconds - right.predictedMilliseconds,
    ),
  };
}
