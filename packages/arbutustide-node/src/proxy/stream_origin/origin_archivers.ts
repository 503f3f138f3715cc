import type {ClusterNode} from '@arbutustide/membership';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Each archiver gets at most five calls a second from so many nodes, and writes
 * to the store five times a second: 65 writes a second at 300 nodes.
 */
const NODES_PER_ARCHIVER = 24;
/** Interval at which the nodes are compared with those last chosen from. */
const CHECK_MILLISECONDS = 250;
/** Time in which all nodes have seen a change of their members. */
const SETTLED_MILLISECONDS = 5_000;
const CHOICE_KEY = 'stream origins';

interface Choice {
  /** URLs of the nodes that it was made from. */
  readonly candidates: string;
  readonly chosenAtMilliseconds: number;
  readonly active: readonly ClusterNode[];
  /** Takes the place of one that does not answer. */
  readonly spare: ClusterNode | undefined;
}

/** Chooses the nodes that write streams' origins to the object store. */
export class OriginArchivers {
  private choice: Choice | undefined;
  private checkedAtMilliseconds = -Infinity;

  constructor(
    private readonly ownUrl: string,
    private readonly listNodes: () => readonly ClusterNode[],
  ) {}

  /** Number of nodes that archive, at most. */
  get count(): number {
    return this.currentChoice().active.length;
  }

  /** Position of this node among the archivers; undefined if it is none. */
  get ownRank(): number | undefined {
    const rank = this.currentChoice().active.findIndex(
      ({peerUrl}) => peerUrl === this.ownUrl,
    );
    return rank < 0 ? undefined : rank;
  }

  /** Whether this node takes the place of an archiver that does not answer. */
  get isSpare(): boolean {
    return this.currentChoice().spare?.peerUrl === this.ownUrl;
  }

  /** The archivers of this node's streams, the preferred one first. */
  listUrls(): string[] {
    const {active, spare} = this.currentChoice();
    const ordered = selectByRendezvousHash(
      this.ownUrl,
      active,
      ({peerUrl}) => peerUrl,
      active.length,
    );
    return [...ordered, ...(spare ? [spare] : [])].map(({peerUrl}) => peerUrl);
  }

  /** Whether peers have seen the same members, and so chosen the same nodes. */
  get isSettled(): boolean {
    const age = performance.now() - this.currentChoice().chosenAtMilliseconds;
    return age >= SETTLED_MILLISECONDS;
  }

  private currentChoice(): Choice {
    const now = performance.now();
    const age = now - this.checkedAtMilliseconds;
    if (this.choice && age < CHECK_MILLISECONDS) return this.choice;
    this.checkedAtMilliseconds = now;
    const nodes = this.listNodes().filter(
      ({state}) => state !== NodeState.LEAVING,
    );
    // Comparing costs far less than hashing all nodes.
    const candidates = joinUrls(nodes);
    if (this.choice?.candidates === candidates) return this.choice;
    const count = Math.ceil(nodes.length / NODES_PER_ARCHIVER);
    const selected = selectByRendezvousHash(
      CHOICE_KEY,
      nodes,
      ({peerUrl}) => peerUrl,
      count + 1,
    );
    this.choice = {
      candidates,
      chosenAtMilliseconds: now,
      active: selected.slice(0, count),
      spare: selected.at(count),
    };
    return this.choice;
  }
}

/** Identifies a set of nodes. */
export function joinUrls(nodes: readonly ClusterNode[]): string {
  return nodes
    .map(({peerUrl}) => peerUrl)
    .sort()
    .join(' ');
}
