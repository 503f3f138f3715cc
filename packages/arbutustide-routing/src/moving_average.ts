/** Exponentially weighted moving average. */
export class MovingAverage {
  private mean: number;

  /**
   * @param initial value before the first sample.
   * @param newestSampleWeight weight of the newest sample, in (0, 1].
   */
  constructor(
    initial: number,
    private readonly newestSampleWeight: number,
  ) {
    this.mean = initial;
  }

  get value(): number {
    return this.mean;
  }

  /** Adds one sample. */
  add(sample: number): void {
    this.mean += this.newestSampleWeight * (sample - this.mean);
  }
}
