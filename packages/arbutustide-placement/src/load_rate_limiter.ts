/**
 * Token bucket that keeps loads from the weight store within its limits: a rate
 * of loads per second and a number of concurrent loads.
 */
export class LoadRateLimiter {
  private availableTokens: number;
  private lastRefillMilliseconds = performance.now();

  /**
   * @param loadsPerSecond rate at which loads may start.
   * @param loadsAtOnce maximum number of concurrent loads.
   * @param burst capacity of the bucket: loads that may start at once.
   * @param initialLoads tokens at the start; fewer than `burst` if another
   *     planner may have started loads just before.
   */
  constructor(
    private readonly loadsPerSecond: number,
    private readonly loadsAtOnce: number,
    private readonly burst = loadsAtOnce,
    initialLoads = burst,
  ) {
    this.availableTokens = initialLoads;
  }

  /**
   * Returns the number of loads that may start now.
   *
   * @param loadsInProgress loads that have started but not finished.
   */
  availableLoads(loadsInProgress: number): number {
    const now = performance.now();
    const elapsedSeconds = (now - this.lastRefillMilliseconds) / 1_000;
    this.lastRefillMilliseconds = now;
    this.availableTokens = Math.min(
      this.burst,
      this.availableTokens + elapsedSeconds * this.loadsPerSecond,
    );
    const freeSlots = this.loadsAtOnce - loadsInProgress;
    return Math.max(0, Math.floor(Math.min(this.availableTokens, freeSlots)));
  }

  /** Takes one token for each started load. */
  recordStarted(startedLoads: number): void {
    this.availableTokens -= startedLoads;
  }
}
