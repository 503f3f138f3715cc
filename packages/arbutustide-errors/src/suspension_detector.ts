import {clockDriftMilliseconds, readClocks} from './clock_reading.js';

/**
 * Detects that the host was suspended. The wall clock advances during a
 * suspension and the monotonic clock does not, so the offset between them
 * jumps. A step of the wall clock looks the same, so what follows from a
 * suspension must be harmless without one.
 */
export class SuspensionDetector {
  private lastReading = readClocks();

  /**
   * @param toleranceMilliseconds drift between two checks that is not taken
   *     for a suspension.
   */
  constructor(private readonly toleranceMilliseconds: number) {}

  /** Returns whether the clocks drifted apart since the last check. */
  checkSuspended(): boolean {
    const reading = readClocks();
    const drift = clockDriftMilliseconds(this.lastReading, reading);
    this.lastReading = reading;
    return drift > this.toleranceMilliseconds;
  }
}
