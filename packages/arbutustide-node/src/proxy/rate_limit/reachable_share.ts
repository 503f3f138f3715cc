/** Nodes that were known within this time count as unreachable, not as gone. */
const RETENTION_MILLISECONDS = 60_000;
const SAMPLES_PER_RETENTION = 60;

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
   * @param initialNodeCount nodes assumed by a node that has known no other
   *     within the retention time.
   * @param retentionMilliseconds how long nodes that vanished are counted.
   * @param countExpected counts the nodes that should be known now.
   */
  constructor(
    private readonly countNodes: () => number,
    private readonly initialNodeCount: number,
    private readonly retentionMilliseconds = RETENTION_MILLISECONDS,
    private readonly countExpected: () => number = () => 1,
  ) {}

  /** Takes a sample; returns the share, from 0 to 1. */
  update(): number {
    const now = performance.now();
    const nodeCount = Math.max(1, this.countNodes());
    const sampleMilliseconds =
      this.retentionMilliseconds / SAMPLES_PER_RETENTION;
    const last = this.samples.at(-1);
    if (last && now - last.atMilliseconds < sampleMilliseconds)
      last.nodeCount = Math.max(last.nodeCount, nodeCount);
    else this.samples.push({atMilliseconds: now, nodeCount});
    while (now - this.samples[0].atMilliseconds > this.retentionMilliseconds)
      this.samples.shift();
    const isAlone = this.samples.every(sample => sample.nodeCount === 1);
    const assumed = isAlone ? this.initialNodeCount : this.countExpected();
    const highest = Math.max(
      assumed,
      ...this.samples.map(sample => sample.nodeCount),
    );
    return nodeCount / highest;
  }
}
