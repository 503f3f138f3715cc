/**
 * A kind is favoured while the served part of its requests is below this share
 * of the served part of all. Callers are owed a quarter.
 */
const GUARANTEED_SHARE = 0.3;
/** Time constant of the counts; bursts last some seconds. */
const DECAY_MILLISECONDS = 10_000;
/** Requests of a kind from which its served part has a meaning. */
const MINIMUM_REQUESTS = 2;

interface Outcomes {
  served: number;
  refused: number;
  updatedAtMilliseconds: number;
}

/**
 * Finds the kinds of requests that are starved by others. Load: urgent requests
 * that take all there is for some seconds, beside deferred ones.
 */
export class ServedShares<Kind> {
  private readonly outcomesByKind = new Map<Kind, Outcomes>();

  /** Records that a request was admitted or refused. */
  record(kind: Kind, isServed: boolean): void {
    const outcomes = decayed(this.outcomesByKind.get(kind));
    if (isServed) outcomes.served += 1;
    else outcomes.refused += 1;
    this.outcomesByKind.set(kind, outcomes);
  }

  /** Whether the requests of this kind are to be served first for now. */
  isFavoured(kind: Kind): boolean {
    if (this.outcomesByKind.size < 2) return false;
    const own = decayed(this.outcomesByKind.get(kind));
    if (own.served + own.refused < MINIMUM_REQUESTS) return false;
    const all = decayed(undefined);
    for (const outcomes of this.outcomesByKind.values()) {
      const {served, refused} = decayed(outcomes);
      all.served += served;
      all.refused += refused;
    }
    return servedPart(own) < GUARANTEED_SHARE * servedPart(all);
  }
}

function servedPart({served, refused}: Outcomes): number {
  const count = served + refused;
  return count === 0 ? 0 : served / count;
}

function decayed(outcomes: Outcomes | undefined): Outcomes {
  const now = performance.now();
  if (!outcomes) return {served: 0, refused: 0, updatedAtMilliseconds: now};
  const {served, refused, updatedAtMilliseconds} = outcomes;
  const factor = Math.exp((updatedAtMilliseconds - now) / DECAY_MILLISECONDS);
  return {
    served: served * factor,
    refused: refused * factor,
    updatedAtMilliseconds: now,
  };
}
