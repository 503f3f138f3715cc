/** Weight of one interval in the average. */
const SAMPLE_WEIGHT = 0.1;
/** Time constant with which the average is forgotten while nothing waits. */
const DECAY_MILLISECONDS = 1_000;

/**
 * Measures the interval between tasks that proceed while others wait. A pause
 * without waiting tasks tells nothing.
 */
export class TurnPace {
  /** Begins at zero: a few intervals don't show that tasks are slow. */
  private averageMilliseconds = 0;
  private updatedAtMilliseconds = 0;
  /** When the latest task proceeded, while others have waited since. */
  private proceededAtMilliseconds: number | undefined;
  /** Since when tasks have waited; undefined if none does. */
  private waitingSinceMilliseconds: number | undefined;

  /** Zero if nothing was measured. An interval under way counts as well. */
  get intervalMilliseconds(): number {
    const {proceededAtMilliseconds: proceededAt} = this;
    if (proceededAt === undefined) return this.decayedAverage;
    const underWay = performance.now() - proceededAt;
    return Math.max(this.averageMilliseconds, this.averageWith(underWay));
  }

  /** Time for which tasks have waited without a pause. */
  get busyMilliseconds(): number {
    const {waitingSinceMilliseconds: since} = this;
    return since === undefined ? 0 : performance.now() - since;
  }

  /** Records that a task waits while no other one does. */
  recordFirst(): void {
    this.averageMilliseconds = this.decayedAverage;
    this.updatedAtMilliseconds = performance.now();
    this.waitingSinceMilliseconds = performance.now();
    this.proceededAtMilliseconds = undefined;
  }

  /** @param hasMoreWaiting whether other tasks wait for their turns. */
  recordTurn(hasMoreWaiting: boolean): void {
    const now = performance.now();
    const {proceededAtMilliseconds: proceededAt} = this;
    this.proceededAtMilliseconds = hasMoreWaiting ? now : undefined;
    if (!hasMoreWaiting) this.waitingSinceMilliseconds = undefined;
    if (proceededAt === undefined) return;
    this.averageMilliseconds = this.averageWith(now - proceededAt);
    this.updatedAtMilliseconds = now;
  }

  private get decayedAverage(): number {
    const age = performance.now() - this.updatedAtMilliseconds;
    return this.averageMilliseconds * Math.exp(-age / DECAY_MILLISECONDS);
  }

  private averageWith(intervalMilliseconds: number): number {
    const {averageMilliseconds: average} = this;
    return average + SAMPLE_WEIGHT * (intervalMilliseconds - average);
  }
}
