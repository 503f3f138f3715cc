/** Nodes that were known within this time count as unreachable, not as gone. */
const RETENTION_MILLISECONDS = 60_000;
const SAMPLE_MILLISECONDS = 1_000;

interface Sample {
  readonly atMilliseconds: number;
  nodeCount: number;
}

/**
 * Measures which share of the nodes this node can reach. Nodes that are gone
 * and nodes behind a partition look the same, so all that were known a short
 * time ago count.
 */
export class ReachableShare {
  private readonly samples: Sample[] = [];

  /**
   * @param countNodes counts the nodes that are known now, with this one.
   * @param initialNodeCount nodes assumed while this node knows no other.
   */
  constructor(
    private readonly countNodes: () => number,
    private readonly initialNodeCount: number,
  ) {}

  /** Takes a sample; returns the share, from 0 to 1. */
  update(): number {
    const now = performance.now();
    const nodeCount = Math.max(1, this.countNodes());
    const last = this.samples.at(-1);
    if (last && now - last.atMilliseconds < SAMPLE_MILLISECONDS)
      last.nodeCount = Math.max(last.nodeCount, nodeCount);
    else this.samples.push({atMilliseconds: now, nodeCount});
    while (now - this.samples[0].atMilliseconds > RETENTION_MILLISECONDS)
      this.samples.shift();
    const assumed = nodeCount === 1 ? this.initialNodeCount : nodeCount;
    const highest = Math.max(
      assumed,
      ...this.samples.map(sample => sample.nodeCount),
    );
    return nodeCount / highest;
  }
}
