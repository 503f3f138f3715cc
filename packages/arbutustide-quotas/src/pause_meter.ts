/** How the clocks have moved since they were last read. */
export interface ClockMovement {
  /** On the monotonic clock. */
  readonly elapsedMilliseconds: number;
  /**
   * By how much the wall clock advanced more. Positive after a suspension of
   * the host, during which the monotonic clock stands still, and after a
   * forward step of the wall clock, which looks the same; negative after a
   * backward step.
   */
  readonly driftMilliseconds: number;
}

/** Measures pauses of the process that its timers do not show. */
export class PauseMeter {
  private atMilliseconds = performance.now();
  private wallMilliseconds = Date.now();

  /** Reads the clocks; returns how they have moved since the last call. */
  read(): ClockMovement {
    const now = performance.now();
    const wallNow = Date.now();
    const elapsedMilliseconds = now - this.atMilliseconds;
    const driftMilliseconds =
      wallNow - this.wallMilliseconds - elapsedMilliseconds;
    this.atMilliseconds = now;
    this.wallMilliseconds = wallNow;
    return {elapsedMilliseconds, driftMilliseconds};
  }
}
