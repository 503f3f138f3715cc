import {SuspensionDetector} from '@arbutustide/errors';

/** Longest time between two observations of a process that runs. */
const MAXIMUM_PAUSE_MILLISECONDS = 1_000;

/**
 * Tells since when this node has seen each change of the list of upstreams. While
 * it was cut off or stood still, upstreams may have joined and left unseen.
 */
export class TouchTracker {
  private readonly suspensions = new SuspensionDetector(
    MAXIMUM_PAUSE_MILLISECONDS,
  );
  private observedAtMilliseconds = performance.now();
  private sinceMilliseconds = this.observedAtMilliseconds;

  /** @param isListCurrent whether the list was confirmed a short time ago. */
  constructor(private readonly isListCurrent: () => boolean) {}

  /** By the monotonic clock; at first the start of this process. */
  get inTouchSinceMilliseconds(): number {
    return this.sinceMilliseconds;
  }

  /** Call it several times a second, and before the time is used. */
  observe(): void {
    const now = performance.now();
    const pause = now - this.observedAtMilliseconds;
    const hasPaused =
      this.suspensions.checkSuspended() || pause > MAXIMUM_PAUSE_MILLISECONDS;
    this.observedAtMilliseconds = now;
    if (hasPaused || !this.isListCurrent()) this.sinceMilliseconds = now;
  }
}
