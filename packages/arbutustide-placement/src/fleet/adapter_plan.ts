import type {EngineBook} from './engine_book.js';
import type {AdapterName} from './engine_orders.js';

/** An engine with its load, as the plan sees it. */
export interface AdapterCandidate {
  readonly book: EngineBook;
  readonly isReady: boolean;
  /** Requests in flight there, from all nodes. */
  readonly inFlight: number;
}

/** Where an adapter is to be loaded, and which must make place first. */
export interface AdapterPlan {
  readonly book: EngineBook;
  readonly evicted: AdapterName | undefined;
}

/** Uses of adapters, to choose which makes place. */
export interface AdapterUse {
  /** Time since the adapter was last asked for, in milliseconds. */
  readonly idleMilliseconds: (name: AdapterName) => number;
  /** Least such time of an adapter that may make place. */
  readonly evictableAfterMilliseconds: number;
}

/**
 * Chooses the engine that is to load an adapter. It answers demand for more
 * adapters than one engine has places: an engine with a free place and little
 * work first, then the one whose adapter was not asked for the longest.
 */
export function planAdapter(
  wanted: AdapterName,
  candidates: readonly AdapterCandidate[],
  use: AdapterUse,
): AdapterPlan | undefined {
  const ready = candidates.filter(
    ({book, isReady}) =>
      isReady && book.isKnown && !book.isBusy && book.holdsModel(wanted.model),
  );
  const free = ready.filter(({book}) => !book.whyNotLoadAdapter(wanted));
  if (free.length > 0) {
    const best = free.reduce((left, right) =>
      burden(left) <= burden(right) ? left : right,
    );
    return {book: best.book, evicted: undefined};
  }
  return planEviction(ready, use);
}

function planEviction(
  candidates: readonly AdapterCandidate[],
  {idleMilliseconds, evictableAfterMilliseconds}: AdapterUse,
): AdapterPlan | undefined {
  let best: AdapterPlan | undefined;
  let longest = evictableAfterMilliseconds;
  for (const {book} of candidates) {
    for (const name of book.adapters()) {
      const idle = idleMilliseconds(name);
      if (idle < longest) continue;
      longest = idle;
      best = {book, evicted: name};
    }
  }
  return best;
}

/** Each adapter will bring work of its own, so it counts like a request. */
function burden({book, inFlight}: AdapterCandidate): number {
  return inFlight + book.adapters().length;
}
