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
  private endOfPauseMilliseconds = 0;

  /** By the monotonic clock; in the past if the planner may be called now. */
  get nextCallAtMilliseconds(): number {
    return this.endOfPauseMilliseconds;
  }

  /** Records a call that has just ended. */
  recordCall(begunAtMilliseconds: number, isAnswered: boolean): void {
    const now = performance.now();
    const pause = Math.min(
      MAXIMUM_PAUSE_MILLISECONDS,
      PAUSE_FACTOR * (now - begunAtMilliseconds),
    );
    this.endOfPauseMilliseconds =
      now +
      (isAnswered
        ? pause
        : Math.max(pause, MINIMUM_FAILURE_PAUSE_MILLISECONDS));
  }
}
