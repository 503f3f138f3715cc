import type {ClusterNode} from '@arbutustide/membership';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Nodes that are asked for the origin of a stream. One more than those that are
 * told: one of these may be gone since, which moves the choice by one.
 */
export const ASKED_KEEPERS = 3;
/**
 * Nodes that are asked while the object store does not answer the asking one, so
 * that one of them is likely to be answered by it. Includes the keepers.
 */
export const CONFIRMING_PEERS = 8;
/** Nodes that are told of the origin of a stream. */
export const TOLD_KEEPERS = 2;

/**
 * Chooses the nodes that keep the origin of a stream: the first by rendezvous
 * hash, then the first of another failure domain, then the others. Nodes with
 * the same members choose the same ones, whichever of them a caller comes to.
 */
export function chooseOriginKeepers(
  nodes: readonly ClusterNode[],
  requestId: string,
  count: number,
): ClusterNode[] {
  const ordered = selectByRendezvousHash(
    requestId,
    nodes.filter(({state}) => state !== NodeState.LEAVING),
    ({peerUrl}) => peerUrl,
    nodes.length,
  );
  const [first] = ordered;
  if (!first) return [];
  const distant = ordered.find(
    ({failureDomain}) => failureDomain !== first.failureDomain,
  );
  const others = ordered.filter(node => node !== first && node !== distant);
  return [first, ...(distant ? [distant] : []), ...others].slice(0, count);
}
