/** Tokens at the start and at most; each allows one retry. */
const MAXIMUM_TOKENS = 10;

/**
 * Token bucket that limits retries to a share of recent successes, so that
 * retries cannot multiply the load of an overloaded system.
 */
export class RetryBudget {
  private tokens = MAXIMUM_TOKENS;

  /** @param retriesPerSuccess tokens added for each success, in [0, 1]. */
  constructor(private readonly retriesPerSuccess: number) {}

  /** Adds the tokens for a request that succeeded. */
  recordSuccess(): void {
    this.tokens = Math.min(
      MAXIMUM_TOKENS,
      this.tokens + this.retriesPerSuccess,
    );
  }

  /** Takes one token; returns false if there is none. */
  tryConsume(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
