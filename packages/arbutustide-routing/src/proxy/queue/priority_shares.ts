import type {RoutedRequest} from '../routed_request.js';

import {effectivePriority} from '../routed_request.js';

/**
 * A priority is favoured while the served part of its requests is below this
 * share of the served part of all. Callers are owed a quarter.
 */
const GUARANTEED_SHARE = 0.3;
/** Time constant of the counts; bursts last some seconds. */
const DECAY_MILLISECONDS = 10_000;
/** Requests of a priority from which its served part has a meaning. */
const MINIMUM_REQUESTS = 2;

interface Outcomes {
  served: number;
  refused: number;
  updatedAtMilliseconds: number;
}

/**
 * Finds the priorities that are starved by more urgent ones. Load: urgent
 * requests that take all slots for some seconds, beside deferred ones.
 */
export class PriorityShares {
  private readonly outcomesByService = new Map<string, Map<number, Outcomes>>();

  /** Records that a request got a slot, or was refused one. */
  record(request: RoutedRequest, isServed: boolean): void {
    const byPriority = this.outcomesByService.get(request.service) ?? new Map();
    this.outcomesByService.set(request.service, byPriority);
    const priority = effectivePriority(request);
    const outcomes = decayed(byPriority.get(priority));
    if (isServed) outcomes.served += 1;
    else outcomes.refused += 1;
    byPriority.set(priority, outcomes);
  }

  /** Whether the requests of this priority are to be served first for now. */
  isFavoured(request: RoutedRequest): boolean {
    const byPriority = this.outcomesByService.get(request.service);
    if (!byPriority || byPriority.size < 2) return false;
    const own = decayed(byPriority.get(effectivePriority(request)));
    if (own.served + own.refused < MINIMUM_REQUESTS) return false;
    const all = decayed(undefined);
    for (const outcomes of byPriority.values()) {
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
