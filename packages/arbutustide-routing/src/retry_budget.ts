/** Retries allowed after a quiet time, before any success was counted. */
const MAXIMUM_RETRIES = 10;

/**
 * Bounds retries to a share of recent successes, so that retries cannot
 * multiply the load of an overloaded system.
 */
export class RetryBudget {
  private tokens = MAXIMUM_RETRIES;

  /** @param retriesPerSuccess retries allowed for each success, in [0, 1]. */
  constructor(private readonly retriesPerSuccess: number) {}

  /** Counts a request that succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(
      MAXIMUM_RETRIES,
      this.tokens + this.retriesPerSuccess,
    );
  }

  /** Takes one retry from the budget if there is one. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
