/** Survivals are counted over one to two of these intervals. */
const COUNT_INTERVAL_MILLISECONDS = 60_000;

interface Survivals {
  readonly count: number;
  /** Time of the last one, here or at a peer (monotonic). */
  readonly lastAtMilliseconds: number;
}

interface Counts {
  readonly bySegment: Map<string, number>;
  requests: number;
}

/**
 * Remembers which prompt segments were in requests that their upstreams
 * survived. It tells how common a segment is among sound requests, and when a
 * request with it last proved harmless.
 */
export class SegmentHistory {
  private current = createCounts();
  private previous = createCounts();
  private rotatedAtMilliseconds = performance.now();
  private readonly survivals = new Map<string, Survivals>();

  /** Records a request that its upstream answered without crashing. */
  recordSurvival(segments: Iterable<string>): void {
    const now = performance.now();
    this.rotate(now);
    this.current.requests += 1;
    for (const segment of segments) {
      const count = this.current.bySegment.get(segment) ?? 0;
      this.current.bySegment.set(segment, count + 1);
      this.survivals.set(segment, {
        count: this.survivalCount(segment) + 1,
        lastAtMilliseconds: now,
      });
    }
  }

  /** Records that a request with the segment survived at a peer. */
  recordPeerSurvival(segment: string): void {
    this.survivals.set(segment, {
      count: this.survivalCount(segment),
      lastAtMilliseconds: performance.now(),
    });
  }

  /** Requests with the segment that survived at this node, in total. */
  survivalCount(segment: string): number {
    return this.survivals.get(segment)?.count ?? 0;
  }

  /** Time of the segment's last survival (monotonic); -Infinity if unknown. */
  lastSurvivalAtMilliseconds(segment: string): number {
    return this.survivals.get(segment)?.lastAtMilliseconds ?? -Infinity;
  }

  /**
   * Estimated share of sound requests that have the segment, by the rule of
   * succession: never zero, and one half as long as nothing is known.
   */
  frequency(segment: string): number {
    this.rotate(performance.now());
    const {current, previous} = this;
    const count =
      (current.bySegment.get(segment) ?? 0) +
      (previous.bySegment.get(segment) ?? 0);
    return (count + 1) / (current.requests + previous.requests + 2);
  }

  private rotate(now: number): void {
    const age = now - this.rotatedAtMilliseconds;
    if (age < COUNT_INTERVAL_MILLISECONDS) return;
    const isPreviousValid = age < 2 * COUNT_INTERVAL_MILLISECONDS;
    this.previous = isPreviousValid ? this.current : createCounts();
    this.current = createCounts();
    this.rotatedAtMilliseconds = now;
    for (const [segment, {lastAtMilliseconds}] of this.survivals) {
      if (now - lastAtMilliseconds >= 2 * COUNT_INTERVAL_MILLISECONDS)
        this.survivals.delete(segment);
    }
  }
}

function createCounts(): Counts {
  return {bySegment: new Map(), requests: 0};
}
