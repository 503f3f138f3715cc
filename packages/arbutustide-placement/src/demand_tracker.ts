/** Requests at once for one entry, averaged over two windows. */
interface DemandAverages {
  shortAverage: number;
  longAverage: number;
  /** The highest recent demand, which fades over many long windows. */
  decayingPeak: number;
}

/** Long windows over which a remembered demand fades. */
const PEAK_DECAY_LONG_WINDOWS = 10;

/** Part of the rise over the long window that is expected to come on top. */
const RISE_EXTRAPOLATION_FACTOR = 0.5;

/** Demand for one entry at this moment, over all nodes. */
export interface DemandSample {
  readonly entry: string;
  /** Requests in flight and queued. */
  readonly concurrency: number;
}

/**
 * Averages demand over a short and a long window. The higher one counts: a rise
 * is answered soon, and a fall only after it has lasted.
 */
export class DemandTracker {
  private readonly averagesByEntry = new Map<string, DemandAverages>();
  private lastSampleMilliseconds: number | undefined;

  constructor(
    private readonly shortWindowMilliseconds: number,
    private readonly longWindowMilliseconds: number,
  ) {}

  /** Takes one sample of every entry. */
  sample(samples: readonly DemandSample[]): void {
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
   * Assumes a demand of which no sample has been taken yet. The highest
   * assumption counts, since what it is based on becomes known bit by bit.
   */
  assume(entry: string, concurrency: number): void {
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
   * Requests at once the entry is to be ready for. A rise is taken to go on,
   * since a replica takes as long to come as the short window.
   */
  expected(entry: string): number {
    const averages = this.averagesByEntry.get(entry);
    if (!averages) return 0;
    const {shortAverage, longAverage} = averages;
    return Math.max(
      shortAverage + RISE_EXTRAPOLATION_FACTOR * (shortAverage - longAverage),
      longAverage,
    );
  }

  /** The highest demand that is remembered, in requests at once. */
  remembered(entry: string): number {
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
