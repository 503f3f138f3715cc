/** The time by both clocks of the process. */
export interface ClockReading {
  /** Does not advance while the host is suspended, and never steps. */
  readonly monotonicMilliseconds: number;
  /** Advances while the host is suspended, and may step in either direction. */
  readonly wallMilliseconds: number;
}

export function readClocks(): ClockReading {
  return {
    monotonicMilliseconds: performance.now(),
    wallMilliseconds: Date.now(),
  };
}

/**
 * How far the clocks drifted apart between two readings, in milliseconds. It is
 * large if the host was suspended in between, or if the wall clock was set.
 */
export function clockDriftMilliseconds(
  earlier: ClockReading,
  later: ClockReading,
): number {
  return Math.abs(clockOffset(later) - clockOffset(earlier));
}

function clockOffset(reading: ClockReading): number {
  return reading.wallMilliseconds - reading.monotonicMilliseconds;
}
