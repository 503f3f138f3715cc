import {delay} from '@arbutustide/errors';

/** Limits on the rate and the concurrency of loads. */
export interface WeightStoreLimits {
  /** Starts of loads are spaced to this rate. */
  readonly loadsPerSecond: number;
  /** Above this many concurrent loads, each slows down in proportion. */
  readonly loadsAtFullSpeed: number;
  /** Duration of one load at full speed. */
  readonly loadMilliseconds: number;
}

/** Simulates the duration of loads from a rate-limited weight store. */
export class StandInWeightStore {
  private activeLoads = 0;
  private nextStartMilliseconds = 0;

  constructor(private readonly limits: WeightStoreLimits) {}

  /** Resolves once the weights of one item would have been transferred. */
  async fetchWeights(): Promise<void> {
    const {loadsPerSecond, loadsAtFullSpeed, loadMilliseconds} = this.limits;
    const now = performance.now();
    const startAtMilliseconds = Math.max(now, this.nextStartMilliseconds);
    this.nextStartMilliseconds = startAtMilliseconds + 1_000 / loadsPerSecond;
    await delay(startAtMilliseconds - now);
    this.activeLoads += 1;
    const slowdown = Math.max(1, this.activeLoads / loadsAtFullSpeed);
    await delay(loadMilliseconds * slowdown);
    this.activeLoads -= 1;
  }
}
