/** Requests in flight and queued, here and at the other nodes. */
export interface FleetDemand {
  readonly own: number;
  readonly peers: number;
  /** Nodes that serve callers, this one included. */
  readonly nodeCount: number;
}

/**
 * This node's part of a limit that holds for all nodes together. Each node
 * counts for its demand plus one; when all know the same figures the parts add
 * up to the limit, with no coordinator.
 */
export function fleetShare(limit: number, demand: FleetDemand): number {
  const {own, peers, nodeCount} = demand;
  const share = (limit * (own + 1)) / (own + peers + Math.max(1, nodeCount));
  return Math.max(1, Math.floor(share));
}
