/** What bounds the requests of one node to a brittle upstream. */
export interface BrittleTerms {
  /** Rejections a second, over all nodes, that the nodes may cause. */
  readonly allowedRejectionsPerSecond: number;
  /** Nodes that send requests to the upstream. */
  readonly senderCount: number;
  /**
   * Whether only gatekeepers of the upstream send requests to it, each as many
   * as its part of the slots.
   */
  readonly isGated: boolean;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
}

/** Nodes that send requests to an upstream while it is gated. */
export const GATEKEEPERS_PER_UPSTREAM = 2;
/** Part of the survived rejections that is used; reports and peers lag. */
const USED_SHARE = 0.5;

/**
 * Decides how the nodes share a brittle upstream. Up to as many nodes as
 * rejections may happen, each can risk one; more nodes leave it to a few.
 *
 * @param survivedRejectionsPerSecond rejections that the upstream survives.
 * @param nodeCount nodes that have requests for it.
 */
export function createBrittleTerms(
  survivedRejectionsPerSecond: number,
  nodeCount: number,
  random: () => number,
): BrittleTerms {
  const allowedRejectionsPerSecond = Math.max(
    1,
    USED_SHARE * survivedRejectionsPerSecond,
  );
  const isGated =
    nodeCount > Math.max(allowedRejectionsPerSecond, GATEKEEPERS_PER_UPSTREAM);
  const senderCount = isGated ? GATEKEEPERS_PER_UPSTREAM : nodeCount;
  return {allowedRejectionsPerSecond, senderCount, isGated, random};
}
