/** Pause after a call as a multiple of the time that it took. */
const PAUSE_FACTOR = 2;
/** Longest pause; a new planner may answer sooner than the one before. */
const MAXIMUM_PAUSE_MILLISECONDS = 1_000;
/** Pause after a call that failed at once. */
const MINIMUM_FAILURE_PAUSE_MILLISECONDS = 250;

/**
 * Decides when this node may call the planner again: the later it answers, the
 * longer the pause, so that all nodes together ask no more than it can answer.
 */
export class PlannerCallPacer {
  private begunAtMilliseconds = 0;
  private nextCallAtMilliseconds = 0;

  get remainingPauseMilliseconds(): number {
    return Math.max(0, this.nextCallAtMilliseconds - performance.now());
  }

  recordBegun(): void {
    this.begunAtMilliseconds = performance.now();
  }

  recordEnded(isAnswered: boolean): void {
    const now = performance.now();
    const pause = Math.min(
      MAXIMUM_PAUSE_MILLISECONDS,
      PAUSE_FACTOR * (now - this.begunAtMilliseconds),
    );
    this.nextCallAtMilliseconds =
      now +
      (isAnswered
        ? pause
        : Math.max(pause, MINIMUM_FAILURE_PAUSE_MILLISECONDS));
  }
}
