/** Retries allowed after a quiet time, before any success was counted. */
const RESERVE = 10;

/**
 * Bounds retries to a share of recent successes, so that retries cannot
 * multiply the load of an overloaded system.
 */
export class RetryBudget {
  private tokens = RESERVE;

  /** @param share retries allowed for each success, in [0, 1]. */
  constructor(private readonly share: number) {}

  /** Counts a request that succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(RESERVE, this.tokens + this.share);
  }

  /** Takes one retry from the budget if there is one. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
