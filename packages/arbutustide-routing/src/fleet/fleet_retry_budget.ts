/** Bounds on retries to one service over all nodes. */
export interface FleetRetryBudgetSettings {
  /** Retries allowed for each request, over all nodes. */
  readonly ratio: number;
  /** Retries allowed besides, over all nodes and one window. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
  /** Nodes that may retry at present, this one included. */
  readonly nodeCount: () => number;
}

/**
 * Part of the allowance that nodes spend. The rest covers nodes that restart
 * within one window and so forget what they have spent.
 */
const SPENDABLE_SHARE = 0.6;
/** Parts a window is counted in. */
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/**
 * This node's part of the fleet's retry budget for one service. The parts add
 * up to the whole even when nodes cannot hear each other: each node spends the
 * ratio on its own requests and an equal part of the allowance.
 */
export class FleetRetryBudget {
  private readonly buckets: Bucket[] = [];

  constructor(private readonly settings: FleetRetryBudgetSettings) {}

  /** Counts a request of a caller. */
  recordRequest(): void {
    this.bucket().requests += 1;
  }

  /** Takes one retry if the window has one left. */
  tryTake(): boolean {
    const {ratio, allowance, nodeCount} = this.settings;
    const part = (allowance * SPENDABLE_SHARE) / Math.max(1, nodeCount());
    const newest = this.bucket();
    let requests = 0;
    let retries = 0;
    for (const currentBucket of this.buckets) {
      requests += currentBucket.requests;
      retries += currentBucket.retries;
    }
    if (retries + 1 > ratio * requests + part) return false;
    newest.retries += 1;
    return true;
  }

  /** The bucket of this moment; older ones than the window are dropped. */
  private bucket(): Bucket {
    const {windowMilliseconds} = this.settings;
    const index = Math.floor(
      (performance.now() * BUCKETS_PER_WINDOW) / windowMilliseconds,
    );
    const last = this.buckets.at(-1);
    if (last?.index === index) return last;
    while (
      this.buckets.length > 0 &&
      this.buckets[0].index < index - BUCKETS_PER_WINDOW
    ) {
      this.buckets.shift();
    }
    const bucket: Bucket = {index, requests: 0, retries: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
