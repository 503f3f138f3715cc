import type {ClusterNode} from '@arbutustide/membership';

import {NodeState} from '@arbutustide/membership';

/** What is read of a node. */
type KnownNode = Pick<ClusterNode, 'peerUrl' | 'state'>;

/** When a node was last known, and whether it was about to leave then. */
interface LastSeen {
  readonly atMilliseconds: number;
  readonly isLeaving: boolean;
}

/** Dependencies of the share of nodes that can be reached. */
export interface ReachableNodesOptions {
  /** The nodes that are known now, with this one. */
  readonly listNodes: () => readonly KnownNode[];
  /**
   * Nodes assumed by a node that has known no other within the retention time.
   */
  readonly initialNodeCount: number;
  /** How long nodes that vanished are counted. */
  readonly retentionMilliseconds: number;
  /** Counts the nodes that should be known, by the URLs that are known now. */
  readonly countExpected: (knownUrls: ReadonlySet<string>) => number;
}

/**
 * Measures which share of the nodes this node can reach, by their addresses.
 * Nodes that vanished may be behind a partition and count for the retention
 * time, except those that announced that they leave. A new process at the
 * address of a former one takes its place.
 */
export class ReachableNodes {
  private readonly lastSeenByUrl = new Map<string, LastSeen>();
  private othersSeenAtMilliseconds = -Infinity;

  constructor(private readonly options: ReachableNodesOptions) {}

  /** Notes which nodes are known; returns the share, from 0 to 1. */
  update(): number {
    const {initialNodeCount, retentionMilliseconds, countExpected} =
      this.options;
    const now = performance.now();
    const isLeavingByUrl = this.readNodes();
    for (const [peerUrl, isLeaving] of isLeavingByUrl)
      this.lastSeenByUrl.set(peerUrl, {atMilliseconds: now, isLeaving});
    for (const [peerUrl, {atMilliseconds, isLeaving}] of this.lastSeenByUrl) {
      const isOld = now - atMilliseconds > retentionMilliseconds;
      const hasLeft = isLeaving && !isLeavingByUrl.has(peerUrl);
      if (isOld || hasLeft) this.lastSeenByUrl.delete(peerUrl);
    }
    const nodeCount = Math.max(1, isLeavingByUrl.size);
    if (nodeCount > 1) this.othersSeenAtMilliseconds = now;
    const isAlone = now - this.othersSeenAtMilliseconds > retentionMilliseconds;
    const assumed = isAlone
      ? initialNodeCount
      : countExpected(new Set(isLeavingByUrl.keys()));
    return nodeCount / Math.max(assumed, nodeCount, this.lastSeenByUrl.size);
  }

  /** Whether all processes that are known at a URL are about to leave. */
  private readNodes(): Map<string, boolean> {
    const isLeavingByUrl = new Map<string, boolean>();
    for (const {peerUrl, state} of this.options.listNodes()) {
      const areOthersLeaving = isLeavingByUrl.get(peerUrl) ?? true;
      const isLeaving = state === NodeState.LEAVING && areOthersLeaving;
      isLeavingByUrl.set(peerUrl, isLeaving);
    }
    return isLeavingByUrl;
  }
}
