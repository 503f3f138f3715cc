/** Time constant of the rates; bursts last some seconds. */
const TIME_CONSTANT_MILLISECONDS = 3_000;

interface DecayingCount {
  count: number;
  updatedAtMilliseconds: number;
}

/** Measures how often tasks of each urgency come. */
export class ArrivalRates {
  private readonly counts = new Map<number, DecayingCount>();

  record(urgency: number): void {
    this.counts.set(urgency, {
      count: 1 + decayed(this.counts.get(urgency)),
      updatedAtMilliseconds: performance.now(),
    });
  }

  /** Tasks per millisecond that are more urgent than this. */
  rateBefore(urgency: number): number {
    let count = 0;
    for (const [other, decaying] of this.counts)
      if (other < urgency) count += decayed(decaying);
    return count / TIME_CONSTANT_MILLISECONDS;
  }
}

function decayed(decaying: DecayingCount | undefined): number {
  if (!decaying) return 0;
  const {count, updatedAtMilliseconds} = decaying;
  const age = performance.now() - updatedAtMilliseconds;
  return count * Math.exp(-age / TIME_CONSTANT_MILLISECONDS);
}
