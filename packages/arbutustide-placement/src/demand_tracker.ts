/** Requests at once for one entry, averaged over two windows. */
interface EntryDemand {
  short: number;
  long: number;
  /** The highest recent demand, which fades over many long windows. */
  peak: number;
}

/** Long windows over which a remembered demand fades. */
const MEMORY_WINDOWS = 10;

/** Part of the rise over the long window that is expected to come on top. */
const RISE_SHARE = 0.5;

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
  private readonly demands = new Map<string, EntryDemand>();
  private sampledAtMilliseconds: number | undefined;

  constructor(
    private readonly shortWindowMilliseconds: number,
    private readonly longWindowMilliseconds: number,
  ) {}

  /** Takes one sample of every entry. */
  sample(samples: readonly DemandSample[]): void {
    const now = performance.now();
    const elapsed = now - (this.sampledAtMilliseconds ?? now);
    this.sampledAtMilliseconds = now;
    for (const {entry, concurrency} of samples) {
      const demand = this.demands.get(entry) ?? {short: 0, long: 0, peak: 0};
      demand.short = this.blend(
        demand.short,
        concurrency,
        elapsed / this.shortWindowMilliseconds,
      );
      demand.long = this.blend(
        demand.long,
        concurrency,
        elapsed / this.longWindowMilliseconds,
      );
      const faded = this.blend(
        demand.peak,
        0,
        elapsed / (MEMORY_WINDOWS * this.longWindowMilliseconds),
      );
      demand.peak = Math.max(faded, demand.long);
      this.demands.set(entry, demand);
    }
  }

  /**
   * Assumes a demand of which no sample has been taken yet. The highest
   * assumption counts, since what it is based on becomes known bit by bit.
   */
  assume(entry: string, concurrency: number): void {
    const known = this.demands.get(entry);
    if (known && this.sampledAtMilliseconds !== undefined) return;
    const long = Math.max(known?.long ?? 0, concurrency);
    this.demands.set(entry, {short: 0, long, peak: long});
  }

  /**
   * Requests at once the entry is to be ready for. A rise is taken to go on,
   * since a replica takes as long to come as the short window.
   */
  expected(entry: string): number {
    const demand = this.demands.get(entry);
    if (!demand) return 0;
    const {short, long} = demand;
    return Math.max(short + RISE_SHARE * (short - long), long);
  }

  /** The highest demand that is remembered, in requests at once. */
  remembered(entry: string): number {
    return this.demands.get(entry)?.peak ?? 0;
  }

  private blend(mean: number, sample: number, windows: number): number {
    const weight = 1 - Math.exp(-windows);
    return mean + weight * (sample - mean);
  }
}
