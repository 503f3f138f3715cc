/** Limits on retries to one service, summed over all nodes. */
export interface ClusterRetryBudgetSettings {
  /** Retries allowed per caller request. */
  readonly ratio: number;
  /** Additional retries allowed per window, over all nodes. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
  /** Number of nodes that may retry now, including this one. */
  readonly nodeCount: () => number;
}

/** What a node has left of a budget, and what it did with it. */
export interface RetryCounts {
  /** Of the own share, in the present window. */
  readonly unspent: number;
  /** Since the start of the node, as all below. */
  readonly lent: number;
  readonly borrowed: number;
  /** Times at which none was left. */
  readonly denied: number;
}

/**
 * Share of the allowance that running nodes may consume. The rest covers nodes
 * that restart within a window and lose their record of consumed retries.
 */
const SPENDABLE_SHARE = 0.6;
/** Share of its unspent retries that a node gives up for one peer. */
const LENDABLE_SHARE = 0.5;
/**
 * Time for which borrowed retries may be consumed. Short against the window, in
 * which the lender counts them as consumed from the loan on.
 */
const LOAN_MILLISECONDS = 1_000;
/** Resolution of the sliding window. */
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/**
 * This node's share of the cluster-wide retry budget of one service, counted
 * over a sliding window. It needs no coordination: each node may retry the
 * given ratio of its own requests, plus an equal share of the allowance, so
 * that the sum stays within the budget while nodes are partitioned. A node may
 * borrow what another one gives up, which leaves the sum as it is.
 */
export class ClusterRetryBudget {
  private readonly buckets: Bucket[] = [];
  private borrowedRetries = 0;
  private loanEndsAtMilliseconds = -Infinity;
  private lentCount = 0;
  private borrowedCount = 0;
  private deniedCount = 0;

  constructor(private readonly settings: ClusterRetryBudgetSettings) {}

  /** Counts a caller request, to which the ratio applies. */
  recordRequest(): void {
    this.currentBucket().requests += 1;
  }

  /** Consumes one retry; returns false if the window has none left. */
  tryConsume(): boolean {
    const current = this.currentBucket();
    if (this.countUnspent() < 1) {
      const isBorrowed = this.tryConsumeBorrowed();
      if (!isBorrowed) this.deniedCount += 1;
      return isBorrowed;
    }
    current.retries += 1;
    return true;
  }

  /**
   * Gives up unspent retries for a peer, which may consume them instead.
   *
   * @param wanted number of retries that the peer needs.
   * @return the number of retries given up.
   */
  lend(wanted: number): number {
    const current = this.currentBucket();
    const lendable = Math.floor(LENDABLE_SHARE * this.countUnspent());
    const lent = Math.max(0, Math.min(wanted, lendable));
    current.retries += lent;
    this.lentCount += lent;
    return lent;
  }

  /** Takes retries that a peer has given up, to be consumed soon. */
  borrow(retries: number): void {
    const isOpen = performance.now() < this.loanEndsAtMilliseconds;
    this.borrowedRetries = (isOpen ? this.borrowedRetries : 0) + retries;
    this.borrowedCount += retries;
    this.loanEndsAtMilliseconds = performance.now() + LOAN_MILLISECONDS;
  }

  get counts(): RetryCounts {
    this.currentBucket();
    return {
      unspent: Math.round(this.countUnspent()),
      lent: this.lentCount,
      borrowed: this.borrowedCount,
      denied: this.deniedCount,
    };
  }

  private tryConsumeBorrowed(): boolean {
    const isOpen = performance.now() < this.loanEndsAtMilliseconds;
    if (!isOpen || this.borrowedRetries < 1) return false;
    this.borrowedRetries -= 1;
    return true;
  }

  /** Retries of the own share that the window has left. */
  private countUnspent(): number {
    const {ratio, allowance, nodeCount} = this.settings;
    const ownAllowance =
      (allowance * SPENDABLE_SHARE) / Math.max(1, nodeCount());
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    return ratio * requests + ownAllowance - retries;
  }

  /** The bucket for the current time; drops buckets older than the window. */
  private currentBucket(): Bucket {
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
