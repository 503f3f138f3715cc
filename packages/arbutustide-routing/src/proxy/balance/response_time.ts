/** Weight of a response in the average. */
const RESPONSE_WEIGHT = 0.2;
/** Fewer responses say more of their requests than of the upstream. */
const MINIMUM_RESPONSES = 4;
/** After this an upstream that got no requests counts as usual again. */
const MAXIMUM_AGE_MILLISECONDS = 5_000;
/**
 * The fastest response is sought in the current window and the one before, so
 * that a path that has become longer is noticed.
 */
const FASTEST_WINDOW_MILLISECONDS = 15_000;

/** Times from sending requests to an upstream to the heads of the answers. */
export class ResponseTime {
  private average = 0;
  private count = 0;
  private recordedAtMilliseconds = -Infinity;
  private fastest = Infinity;
  private fastestBefore = Infinity;
  private windowBeganAtMilliseconds = 0;

  record(milliseconds: number): void {
    if (this.isOld) this.count = 0;
    this.count += 1;
    const weight = Math.max(RESPONSE_WEIGHT, 1 / this.count);
    this.average += weight * (milliseconds - this.average);
    const now = performance.now();
    this.recordedAtMilliseconds = now;
    if (now - this.windowBeganAtMilliseconds > FASTEST_WINDOW_MILLISECONDS) {
      this.fastestBefore = this.fastest;
      this.fastest = Infinity;
      this.windowBeganAtMilliseconds = now;
    }
    this.fastest = Math.min(this.fastest, milliseconds);
  }

  /** Undefined unless there are enough recent responses. */
  get averageMilliseconds(): number | undefined {
    return this.isMeasured ? this.average : undefined;
  }

  /** Undefined unless there are enough recent responses. */
  get fastestMilliseconds(): number | undefined {
    return this.isMeasured
      ? Math.min(this.fastest, this.fastestBefore)
      : undefined;
  }

  private get isMeasured(): boolean {
    return !this.isOld && this.count >= MINIMUM_RESPONSES;
  }

  private get isOld(): boolean {
    const age = performance.now() - this.recordedAtMilliseconds;
    return age > MAXIMUM_AGE_MILLISECONDS;
  }
}
