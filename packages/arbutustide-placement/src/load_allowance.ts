/**
 * Bounds loads to what the weight store allows: so many a second, and so many
 * at once.
 */
export class LoadAllowance {
  private availableTokens: number;
  private lastRefillMilliseconds = performance.now();

  /**
   * @param loadsAtOnce loads that may be underway at one moment.
   * @param burst loads that may begin at one moment.
   * @param initialLoads loads that may begin at the start; fewer where others
   *     may have started some just before.
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
   * Loads that may be started now.
   *
   * @param loadsInProgress loads started and not yet finished.
   */
  available(loadsInProgress: number): number {
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

  /** Counts loads as started. */
  take(startedLoads: number): void {
    this.availableTokens -= startedLoads;
  }
}
