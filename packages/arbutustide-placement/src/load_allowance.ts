/**
 * Bounds loads to what the weight store allows: so many a second, and so many
 * at once.
 */
export class LoadAllowance {
  private tokens: number;
  private refilledAtMilliseconds = performance.now();

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
    this.tokens = initialLoads;
  }

  /**
   * Loads that may be started now.
   *
   * @param underway loads started and not yet finished.
   */
  available(underway: number): number {
    const now = performance.now();
    const elapsedSeconds = (now - this.refilledAtMilliseconds) / 1_000;
    this.refilledAtMilliseconds = now;
    this.tokens = Math.min(
      this.burst,
      this.tokens + elapsedSeconds * this.loadsPerSecond,
    );
    const places = this.loadsAtOnce - underway;
    return Math.max(0, Math.floor(Math.min(this.tokens, places)));
  }

  /** Counts loads as started. */
  take(loads: number): void {
    this.tokens -= loads;
  }
}
