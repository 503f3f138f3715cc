/** Weight of a response in the average. */
const RESPONSE_WEIGHT = 0.2;
/** Fewer responses say more of their requests than of the upstream. */
const MINIMUM_RESPONSES = 4;
/** After this an upstream that got no requests counts as usual again. */
const MAXIMUM_AGE_MILLISECONDS = 5_000;

/** Average time from sending a request to the head of its answer. */
export class ResponseTime {
  private average = 0;
  private count = 0;
  private recordedAtMilliseconds = -Infinity;

  record(milliseconds: number): void {
    if (this.isOld) this.count = 0;
    this.count += 1;
    const weight = Math.max(RESPONSE_WEIGHT, 1 / this.count);
    this.average += weight * (milliseconds - this.average);
    this.recordedAtMilliseconds = performance.now();
  }

  /** Undefined unless there are enough recent responses. */
  get averageMilliseconds(): number | undefined {
    if (this.isOld || this.count < MINIMUM_RESPONSES) return undefined;
    return this.average;
  }

  private get isOld(): boolean {
    const age = performance.now() - this.recordedAtMilliseconds;
    return age > MAXIMUM_AGE_MILLISECONDS;
  }
}
