/** An exponentially weighted mean of samples. */
export class MovingAverage {
  private mean: number;

  /**
   * @param weight share of the newest sample, in (0, 1].
   */
  constructor(
    initial: number,
    private readonly weight: number,
  ) {
    this.mean = initial;
  }

  get value(): number {
    return this.mean;
  }

  /** Takes one sample. */
  add(sample: number): void {
    this.mean += this.weight * (sample - this.mean);
  }
}
