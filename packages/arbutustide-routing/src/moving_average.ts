/** An exponentially weighted mean of samples. */
export class MovingAverage {
  private mean: number;

  /**
   * @param newestSampleWeight share of the newest sample, in (0, 1].
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

  /** Takes one sample. */
  add(sample: number): void {
    this.mean += this.newestSampleWeight * (sample - this.mean);
  }
}
