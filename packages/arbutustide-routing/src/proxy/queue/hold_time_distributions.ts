import type {RoutedRequest} from '../routed_request.js';

import {createHistogram} from 'node:perf_hooks';

/** Chance that a request takes longer than its kind is expected to. */
const EXCESS_CHANCE = 0.01;

/**
 * Samples of a kind from which its longest times are known: the next one exceeds
 * all of them with a chance of 1 in one more.
 */
const MINIMUM_SAMPLES = Math.ceil(1 / EXCESS_CHANCE) - 1;

const PERCENTILE = 100 * (1 - EXCESS_CHANCE);

/** Samples fade after one to two of these periods. */
const PERIOD_MILLISECONDS = 300_000;

/** Kinds that are measured; others count for their routes only. */
const MAXIMUM_KINDS = 128;

const LONGEST_MILLISECONDS = 600_000;

/** What the time that a request takes depends on. */
export type TimedRequest = Pick<
  RoutedRequest,
  'service' | 'route' | 'modelRequest' | 'lastEventId'
>;

/**
 * Measures how long requests hold a slot, as a distribution for each route and,
 * where requests name models, for each model of a route.
 */
export class HoldTimeDistributions {
  private readonly timesByKind = new Map<string, FadingTimes>();
  private periodBeganAtMilliseconds = performance.now();

  /**
   * Records a request that an upstream accepted and that has ended.
   *
   * @param isWhole whether it was answered whole; if not, it would have taken
   *     longer than it has.
   */
  record(
    request: TimedRequest,
    heldMilliseconds: number,
    isWhole: boolean,
  ): void {
    this.fadeIfDue();
    const isSample = isWhole && request.lastEventId === undefined;
    for (const kind of kindsOf(request)) {
      const times = this.timesOf(kind);
      if (isSample) times?.record(heldMilliseconds);
      else times?.recordLowerBound(heldMilliseconds);
    }
  }

  /**
   * Time within which a request ends, but for a chance of one in a hundred, once
   * it has a slot; undefined if that is not yet known.
   */
  longestMilliseconds(request: TimedRequest): number | undefined {
    this.fadeIfDue();
    let longestOfFew = 0;
    for (const kind of kindsOf(request).reverse()) {
      const times = this.timesByKind.get(kind);
      if (times?.isKnown) return Math.max(times.percentile, longestOfFew);
      longestOfFew = times?.maximum ?? 0;
    }
    return undefined;
  }

  /** Number of kinds that are measured. */
  get kindCount(): number {
    return this.timesByKind.size;
  }

  private timesOf(kind: string): FadingTimes | undefined {
    const known = this.timesByKind.get(kind);
    if (known || this.timesByKind.size >= MAXIMUM_KINDS) return known;
    const times = new FadingTimes();
    this.timesByKind.set(kind, times);
    return times;
  }

  private fadeIfDue(): void {
    const now = performance.now();
    while (now - this.periodBeganAtMilliseconds >= PERIOD_MILLISECONDS) {
      this.periodBeganAtMilliseconds += PERIOD_MILLISECONDS;
      for (const [kind, times] of this.timesByKind) {
        times.beginPeriod();
        if (times.isEmpty) this.timesByKind.delete(kind);
      }
    }
  }
}

/** The kinds that a request belongs to, the widest first. */
function kindsOf({service, route, modelRequest}: TimedRequest): string[] {
  const kind = `${service} ${route.name}`;
  return modelRequest ? [kind, `${kind} ${modelRequest.model}`] : [kind];
}

/** Times of the period that has begun and of the one before. */
class FadingTimes {
  /** Of both periods; the other one holds those of the latest. */
  private both = createTimes();
  private latest = createTimes();

  get isKnown(): boolean {
    return this.both.count >= MINIMUM_SAMPLES;
  }

  get isEmpty(): boolean {
    return this.both.count === 0;
  }

  get percentile(): number {
    return this.both.percentile(PERCENTILE);
  }

  get maximum(): number {
    return this.both.max;
  }

  record(milliseconds: number): void {
    const time = Math.min(
      LONGEST_MILLISECONDS,
      Math.max(1, Math.ceil(milliseconds)),
    );
    this.both.record(time);
    this.latest.record(time);
  }

  /** A time that is not exceptionally long tells nothing as a lower bound. */
  recordLowerBound(milliseconds: number): void {
    if (!this.isEmpty && milliseconds > this.percentile)
      this.record(milliseconds);
  }

  beginPeriod(): void {
    const faded = this.both;
    faded.reset();
    this.both = this.latest;
    this.latest = faded;
  }
}

function createTimes() {
  return createHistogram({
    lowest: 1,
    highest: LONGEST_MILLISECONDS,
    figures: 1,
  });
}
