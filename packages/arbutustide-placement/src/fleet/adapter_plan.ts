import type {EngineBook} from './engine_book.js';
import type {AdapterName} from './engine_orders.js';

/** An engine with its load, as the plan sees it. */
export interface AdapterCandidate {
  readonly holdings: EngineBook;
  readonly isReady: boolean;
  /** Requests in flight there, from all nodes. */
  readonly inFlight: number;
}

/** Where an adapter is to be loaded, and which must make place first. */
export interface AdapterPlan {
  readonly holdings: EngineBook;
  readonly evicted: AdapterName | undefined;
}

/** Uses of adapters, to choose which makes place. */
export interface AdapterUsage {
  /** Time since the adapter was last asked for, in milliseconds. */
  readonly idleMilliseconds: (name: AdapterName) => number;
  /** Least such time of an adapter that may make place. */
  readonly minimumIdleMilliseconds: number;
}

/**
 * Chooses the engine that is to load an adapter. It answers demand for more
 * adapters than one engine has places: an engine with a free place and little
 * work first, then the one whose adapter was not asked for the longest.
 */
export function planAdapter(
  wanted: AdapterName,
  candidates: readonly AdapterCandidate[],
  usage: AdapterUsage,
): AdapterPlan | undefined {
  const ready = candidates.filter(
    ({holdings, isReady}) =>
      isReady &&
      holdings.isUpToDate &&
      !holdings.isBusy &&
      holdings.holdsModel(wanted.model),
  );
  const free = ready.filter(
    ({holdings}) => !holdings.findAdapterLoadBlocker(wanted),
  );
  if (free.length > 0) {
    const best = free.reduce((left, right) =>
      expectedRequests(left) <= expectedRequests(right) ? left : right,
    );
    return {holdings: best.holdings, evicted: undefined};
  }
  return planEviction(ready, usage);
}

function planEviction(
  candidates: readonly AdapterCandidate[],
  {
    idleMilliseconds,
    minimumIdleMilliseconds: evictableAfterMilliseconds,
  }: AdapterUsage,
): AdapterPlan | undefined {
  let best: AdapterPlan | undefined;
  let longest = evictableAfterMilliseconds;
  for (const {holdings} of candidates) {
    for (const name of holdings.adapters()) {
      const idle = idleMilliseconds(name);
      if (idle < longest) continue;
      longest = idle;
      best = {holdings, evicted: name};
    }
  }
  return best;
}

/** Each adapter will bring work of its own, so it counts like a request. */
function expectedRequests({holdings, inFlight}: AdapterCandidate): number {
  return inFlight + holdings.adapters().length;
}
