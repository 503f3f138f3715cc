/** Requests in flight and queued, at this node and at the other nodes. */
export interface ClusterDemand {
  readonly ownRequests: number;
  readonly peerRequests: number;
  /** Nodes that serve callers, this one included. */
  readonly servingNodeCount: number;
}

/**
 * This node's share of a limit that applies to all nodes together, at least
 * one. Each node's weight is its demand plus one. If all nodes know the same
 * demand, the shares add up to at most the limit without a coordinator, except
 * for shares that are raised to one.
 */
export function clusterShare(limit: number, demand: ClusterDemand): number {
  const {ownRequests, peerRequests, servingNodeCount} = demand;
  const share =
    (limit * (ownRequests + 1)) /
    (ownRequests + peerRequests + Math.max(1, servingNodeCount));
  return Math.max(1, Math.floor(share));
}
