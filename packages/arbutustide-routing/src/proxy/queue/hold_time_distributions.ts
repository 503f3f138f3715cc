import type {RoutedRequest} from '../routed_request.js';

import {createHistogram} from 'node:perf_hooks';

import {isRepeatable} from '../route.js';

/**
 * Chance that a request takes longer than expected: one that is cut off then and
 * may be repeated costs its caller time, another one is lost.
 */
const EXCESS_CHANCE_IF_REPEATABLE = 0.1;
const EXCESS_CHANCE = 0.01;

/**
 * Chance that a stream takes longer than it is likely to. One that may be repeated
 * can end elsewhere instead, another one can't.
 */
const UNLIKELY_CHANCE_IF_REPEATABLE = 0.1;
const UNLIKELY_CHANCE = 0.5;
/** Of fewer samples the longest counts. */
const MINIMUM_SAMPLES = 9;

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
 * Measures how long requests take, such as the time for which they hold a slot,
 * as a distribution for each route and, where requests name models, for each
 * model of a route.
 */
export class HoldTimeDistributions {
  private readonly timesByKind = new Map<string, FadingTimes>();
  private periodBeganAtMilliseconds = performance.now();

  /**
   * Records a request that an upstream accepted and that has ended.
   *
   * @param milliseconds the time that it took.
   * @param isWhole whether it was answered whole; if not, it would have taken
   *     longer than it has.
   */
  record(request: TimedRequest, milliseconds: number, isWhole: boolean): void {
    this.fadeIfDue();
    const isSample = isWhole && request.lastEventId === undefined;
    for (const kind of kindsOf(request)) {
      const times = this.timesOf(kind);
      if (isSample) times?.record(milliseconds);
      else times?.recordLowerBound(milliseconds);
    }
  }

  /**
   * Time within which a request ends, but for a small chance, once it has a
   * slot; undefined if that is not yet known.
   */
  longestMilliseconds(request: TimedRequest): number | undefined {
    this.fadeIfDue();
    const excessChance = isRepeatable(request.route)
      ? EXCESS_CHANCE_IF_REPEATABLE
      : EXCESS_CHANCE;
    let longestOfFew = 0;
    for (const kind of kindsOf(request).reverse()) {
      const times = this.timesByKind.get(kind);
      const longest = times?.boundExceededBy(excessChance);
      if (longest !== undefined) return Math.max(longest, longestOfFew);
      longestOfFew = times?.maximum ?? 0;
    }
    return undefined;
  }

  /**
   * Time within which a request is likely to end; the longest of few, undefined
   * if none is known.
   */
  likelyMilliseconds(request: TimedRequest): number | undefined {
    this.fadeIfDue();
    const unlikelyChance = isRepeatable(request.route)
      ? UNLIKELY_CHANCE_IF_REPEATABLE
      : UNLIKELY_CHANCE;
    let longestOfFew: number | undefined;
    for (const kind of kindsOf(request).reverse()) {
      const times = this.timesByKind.get(kind);
      if (!times || times.isEmpty) continue;
      if (times.count >= MINIMUM_SAMPLES)
        return times.percentile(unlikelyChance);
      longestOfFew ??= times.maximum;
    }
    return longestOfFew;
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

  get isEmpty(): boolean {
    return this.count === 0;
  }

  /**
   * Time that the next request exceeds with this chance; undefined if there are
   * too few samples: it exceeds all of them with a chance of 1 in one more.
   */
  boundExceededBy(chance: number): number | undefined {
    if (this.count < Math.ceil(1 / chance) - 1) return undefined;
    return this.percentile(chance);
  }

  get count(): number {
    return this.both.count;
  }

  /** Time that this share of the samples exceeds. */
  percentile(excessShare: number): number {
    return this.both.percentile(100 * (1 - excessShare));
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
    if (this.isEmpty) return;
    const usual = this.percentile(EXCESS_CHANCE);
    if (milliseconds > usual) this.record(milliseconds);
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
