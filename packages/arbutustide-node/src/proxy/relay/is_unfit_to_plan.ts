/** What a node knows of its own and its peers' paths to engines. */
export interface EnginePaths {
  /** Services of engines that are cut off from this node. */
  readonly cutOffServices: Iterable<string>;
  /** Whether some ready peer has not said that it lost a service. */
  readonly mayPeerReach: (service: string) => boolean;
}

/**
 * Whether this node must leave planning to others: its orders would not reach
 * the engines of a service that a peer's orders reach.
 */
export function isUnfitToPlan({
  cutOffServices,
  mayPeerReach,
}: EnginePaths): boolean {
  for (const service of cutOffServices) if (mayPeerReach(service)) return true;
  return false;
}
