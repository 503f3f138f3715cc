/**
 * Tells whether this process stood still. The monotonic clock does not count
 * the time a host is suspended and the time of day does, so the two drift
 * apart; a stepped time of day looks the same, which costs no more than a
 * needless renewal of a lease.
 */
export class SuspensionGuard {
  private offsetMilliseconds = clockOffsetMilliseconds();

  /** @param tolerance drift between two checks that proves nothing. */
  constructor(private readonly toleranceMilliseconds: number) {}

  /** Whether the clocks drifted apart since the last check. */
  checkSuspended(): boolean {
    const now = clockOffsetMilliseconds();
    const drift = Math.abs(now - this.offsetMilliseconds);
    this.offsetMilliseconds = now;
    return drift > this.toleranceMilliseconds;
  }
}

function clockOffsetMilliseconds(): number {
  return Date.now() - performance.now();
}
