import type {RecordedCrash} from './upstream_crash.js';

/** Crashes with a segment before it can be blamed. */
const MINIMUM_CRASHES = 4;
/**
 * Probability up to which it is ruled out that any of the segments was in the
 * lost requests by chance.
 */
const MAXIMUM_CHANCE = 0.01;
/** The same up to which a segment is suspected. */
const MAXIMUM_CHANCE_TO_SUSPECT = 0.1;

/** What is known of segments from requests that upstreams survived. */
export interface SurvivalStatistics {
  lastSurvivalAtMilliseconds(segment: string): number;
  /** Share of sound requests that have the segment, above zero. */
  frequency(segment: string): number;
}

/** A segment that explains crashes, and the evidence. */
export interface CrashCause {
  readonly segment: string;
  readonly crashes: number;
  /** Probability that it was in all these crashes by chance. */
  readonly chance: number;
  /** Whether chance is ruled out; otherwise the segment is only suspected. */
  readonly isCertain: boolean;
}

/**
 * Finds the prompt segment that best explains crashes of upstreams, if one does
 * or may.
 *
 * A segment is blamed only if no request with it survived since its first crash
 * and if chance is ruled out: one that many sound requests have is lost in many
 * crashes without being their cause, and so is a rare one in a few of many.
 */
export function findCrashCause(
  crashes: readonly RecordedCrash[],
  statistics: SurvivalStatistics,
): CrashCause | undefined {
  let best: Omit<CrashCause, 'isCertain'> | undefined;
  const segments = listSegments(crashes);
  for (const segment of segments) {
    const cause = examineSegment(segment, crashes, statistics);
    if (cause && cause.chance < (best?.chance ?? Infinity)) best = cause;
  }
  if (!best) return undefined;
  // The more segments are examined, the likelier one of them fits by chance.
  const chanceOfAny = best.chance * segments.size;
  if (chanceOfAny > MAXIMUM_CHANCE_TO_SUSPECT) return undefined;
  return {...best, isCertain: chanceOfAny <= MAXIMUM_CHANCE};
}

/** Whether a request with the segment was lost in the crash. */
export function isInCrash(
  segment: string,
  {begun, unbegun}: RecordedCrash,
): boolean {
  return begun.segments.has(segment) || unbegun.segments.has(segment);
}

function examineSegment(
  segment: string,
  crashes: readonly RecordedCrash[],
  statistics: SurvivalStatistics,
): Omit<CrashCause, 'isCertain'> | undefined {
  const survivedAt = statistics.lastSurvivalAtMilliseconds(segment);
  const since = crashes.filter(
    ({recordedAtMilliseconds}) => recordedAtMilliseconds > survivedAt,
  );
  const withSegment = since.filter(crash => isInCrash(segment, crash));
  if (withSegment.length < MINIMUM_CRASHES) return undefined;
  const firstAt = withSegment[0].recordedAtMilliseconds;
  const sinceFirst = since.filter(
    ({recordedAtMilliseconds}) => recordedAtMilliseconds >= firstAt,
  );
  const frequency = statistics.frequency(segment);
  const chanceOfThese = withSegment.reduce(
    (product, crash) =>
      product * (1 - (1 - frequency) ** countCandidates(segment, crash)),
    1,
  );
  // It could have been in as many other crashes of those since its first.
  const choices = countChoices(sinceFirst.length, withSegment.length);
  const chance = Math.min(1, chanceOfThese * choices);
  return {segment, crashes: withSegment.length, chance};
}

/** Number of ways to choose that many of the items. */
function countChoices(items: number, chosen: number): number {
  let choices = 1;
  for (let index = 1; index <= chosen; index += 1)
    choices *= (items - chosen + index) / index;
  return choices;
}

/** Requests of a crash that are as suspect as those with the segment. */
function countCandidates(
  segment: string,
  {begun, unbegun}: RecordedCrash,
): number {
  return begun.segments.has(segment)
    ? begun.requestCount
    : begun.requestCount + unbegun.requestCount;
}

function listSegments(crashes: readonly RecordedCrash[]): Set<string> {
  return new Set(
    crashes.flatMap(({begun, unbegun}) => [
      ...begun.segments,
      ...unbegun.segments,
    ]),
  );
}
