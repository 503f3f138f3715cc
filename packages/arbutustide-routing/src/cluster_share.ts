/** Requests in flight and queued, here and at the other nodes. */
export interface ClusterDemand {
  readonly ownRequests: number;
  readonly peerRequests: number;
  /** Nodes that serve callers, this one included. */
  readonly servingNodeCount: number;
}

/**
 * This node's part of a limit that holds for all nodes together. Each node
 * counts for its demand plus one; when all know the same figures the parts add
 * up to the limit, with no coordinator.
 */
export function clusterShare(limit: number, demand: ClusterDemand): number {
  const {
    ownRequests: own,
    peerRequests: peers,
    servingNodeCount: nodeCount,
  } = demand;
  const share = (limit * (own + 1)) / (own + peers + Math.max(1, nodeCount));
  return Math.max(1, Math.floor(share));
}
