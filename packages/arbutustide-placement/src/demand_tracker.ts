/** Exponential moving averages of one entry's concurrent requests. */
interface DemandAverages {
  shortAverage: number;
  longAverage: number;
  /** Peak of the long average, decaying over many long windows. */
  decayingPeak: number;
}

/** Time constant of the peak's decay, in long windows. */
const PEAK_DECAY_LONG_WINDOWS = 10;

/** Part of the rise above the long average that is added to the forecast. */
const RISE_EXTRAPOLATION_FACTOR = 0.5;

/** Current demand for one entry, summed over all nodes. */
export interface DemandSample {
  readonly entry: string;
  /** Requests in flight and queued. */
  readonly concurrency: number;
}

/**
 * Averages demand over a short and a long window and uses the higher result:
 * capacity follows a rise within the short window, and a fall only after it has
 * lasted for the long window.
 */
export class DemandTracker {
  private readonly averagesByEntry = new Map<string, DemandAverages>();
  private lastSampleMilliseconds: number | undefined;

  constructor(
    private readonly shortWindowMilliseconds: number,
    private readonly longWindowMilliseconds: number,
  ) {}

  /** Updates the averages with one sample of each entry. */
  recordSamples(samples: readonly DemandSample[]): void {
    const now = performance.now();
    const elapsedMilliseconds = now - (this.lastSampleMilliseconds ?? now);
    this.lastSampleMilliseconds = now;
    for (const {entry, concurrency} of samples) {
      const averages = this.averagesByEntry.get(entry) ?? {
        shortAverage: 0,
        longAverage: 0,
        decayingPeak: 0,
      };
      averages.shortAverage = this.updateAverage(
        averages.shortAverage,
        concurrency,
        elapsedMilliseconds / this.shortWindowMilliseconds,
      );
      averages.longAverage = this.updateAverage(
        averages.longAverage,
        concurrency,
        elapsedMilliseconds / this.longWindowMilliseconds,
      );
      const decayedPeak = this.updateAverage(
        averages.decayingPeak,
        0,
        elapsedMilliseconds /
          (PEAK_DECAY_LONG_WINDOWS * this.longWindowMilliseconds),
      );
      averages.decayingPeak = Math.max(decayedPeak, averages.longAverage);
      this.averagesByEntry.set(entry, averages);
    }
  }

  /**
   * Sets the initial demand of an entry that has not been sampled yet. The
   * highest value counts, since its basis becomes known gradually.
   */
  assumeInitial(entry: string, concurrency: number): void {
    const known = this.averagesByEntry.get(entry);
    if (known && this.lastSampleMilliseconds !== undefined) return;
    const initialAverage = Math.max(known?.longAverage ?? 0, concurrency);
    this.averagesByEntry.set(entry, {
      shortAverage: 0,
      longAverage: initialAverage,
      decayingPeak: initialAverage,
    });
  }

  /**
   * Returns the concurrent requests for which the entry needs capacity. A rise
   * is extrapolated, since loading a replica takes about one short window.
   */
  expectedConcurrency(entry: string): number {
    const averages = this.averagesByEntry.get(entry);
    if (!averages) return 0;
    const {shortAverage, longAverage} = averages;
    return Math.max(
      shortAverage + RISE_EXTRAPOLATION_FACTOR * (shortAverage - longAverage),
      longAverage,
    );
  }

  /** Returns the decaying peak of an entry's concurrent requests. */
  recentPeak(entry: string): number {
    return this.averagesByEntry.get(entry)?.decayingPeak ?? 0;
  }

  private updateAverage(
    mean: number,
    sample: number,
    elapsedWindows: number,
  ): number {
    const weight = 1 - Math.exp(-elapsedWindows);
    return mean + weight * (sample - mean);
  }
}
