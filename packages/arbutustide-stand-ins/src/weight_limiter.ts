import {delay} from '@arbutustide/errors';

/** The weight store's limits. */
export interface WeightLimits {
  readonly loadsPerSecond: number;
  /** Beyond this many at once every load slows down in proportion. */
  readonly loadsAtFullSpeed: number;
  /** Time of one load at full speed. */
  readonly loadMilliseconds: number;
}

/** A rate-limited store of weights. */
export class WeightLimiter {
  private loads = 0;
  private nextStartMilliseconds = 0;

  constructor(private readonly limits: WeightLimits) {}

  /** Takes as long as the store needs to hand out one item's weights. */
  async fetch(): Promise<void> {
    const {loadsPerSecond, loadsAtFullSpeed, loadMilliseconds} = this.limits;
    const now = performance.now();
    const startAt = Math.max(now, this.nextStartMilliseconds);
    this.nextStartMilliseconds = startAt + 1_000 / loadsPerSecond;
    await delay(startAt - now);
    this.loads += 1;
    const slowdown = Math.max(1, this.loads / loadsAtFullSpeed);
    await delay(loadMilliseconds * slowdown);
    this.loads -= 1;
  }
}
