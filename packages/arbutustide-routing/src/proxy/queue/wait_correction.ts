/** Wait below which a prediction's relative error has no meaning. */
const NOISE_MILLISECONDS = 50;
/** Weight of one request in the factor. */
const SAMPLE_WEIGHT = 0.1;
const MINIMUM_FACTOR = 0.25;
const MAXIMUM_FACTOR = 16;
/**
 * Time constant with which the factor returns to 1. While all newcomers are
 * refused, nothing shows whether the factor still holds.
 */
const RETURN_MILLISECONDS = 5_000;

interface Factor {
  value: number;
  updatedAtMilliseconds: number;
}

/**
 * How much longer requests wait than was predicted, by service and priority. A
 * prediction cannot know the more urgent requests that will arrive, and what
 * other nodes publish is seconds old.
 */
export class WaitCorrection {
  private readonly factors = new Map<string, Factor>();

  /** Factor by which a predicted wait is to be multiplied. */
  factorFor(key: string): number {
    const factor = this.factors.get(key);
    if (!factor) return 1;
    const age = performance.now() - factor.updatedAtMilliseconds;
    return 1 + (factor.value - 1) * Math.exp(-age / RETURN_MILLISECONDS);
  }

  /**
   * Records how long a request has waited.
   *
   * @param hasSlot false if it gave up, so that it would have waited longer.
   */
  record(
    key: string,
    predictedMilliseconds: number,
    waitedMilliseconds: number,
    hasSlot: boolean,
  ): void {
    const observed =
      (waitedMilliseconds + NOISE_MILLISECONDS) /
      (predictedMilliseconds + NOISE_MILLISECONDS);
    const ratio = Math.min(MAXIMUM_FACTOR, Math.max(MINIMUM_FACTOR, observed));
    const current = this.factorFor(key);
    if (!hasSlot && ratio <= current) return;
    this.factors.set(key, {
      // The geometric mean, as single ratios are far from symmetric.
      value: current * (ratio / current) ** SAMPLE_WEIGHT,
      updatedAtMilliseconds: performance.now(),
    });
  }
}
