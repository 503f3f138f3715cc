/**
 * Detects that the host was suspended. The wall clock advances during a
 * suspension and the monotonic clock does not, so the offset between them
 * jumps. A step of the wall clock looks the same; its only cost is an
 * unnecessary renewal of the lease.
 */
export class SuspensionDetector {
  private offsetMilliseconds = clockOffsetMilliseconds();

  /**
   * @param toleranceMilliseconds drift between two checks that is not taken
   *     for a suspension.
   */
  constructor(private readonly toleranceMilliseconds: number) {}

  /** Returns whether the clocks drifted apart since the last check. */
  checkSuspended(): boolean {
    const now = clockOffsetMilliseconds();
    const drift = Math.abs(now - this.offsetMilliseconds);
    this.offsetMilliseconds = now;
    return drift > this.toleranceMilliseconds;
  }
}

/** Offset of the wall clock from the monotonic clock. */
function clockOffsetMilliseconds(): number {
  return Date.now() - performance.now();
}
