import type {EngineHoldingsTracker} from './engine_holdings_tracker.js';
import type {AdapterKey} from './engine_client.js';

/** An engine that an adapter may be loaded on. */
export interface AdapterCandidate {
  readonly holdings: EngineHoldingsTracker;
  readonly isReady: boolean;
  /** Requests in flight at the engine, summed over all nodes. */
  readonly inFlight: number;
}

/** The engine to load an adapter on, and the adapter to evict first. */
export interface AdapterPlan {
  readonly holdings: EngineHoldingsTracker;
  readonly evicted: AdapterKey | undefined;
}

/** Usage of adapters, which decides which one is evicted. */
export interface AdapterUsage {
  /** Time since the last request for the adapter, in milliseconds. */
  readonly idleMilliseconds: (adapterKey: AdapterKey) => number;
  /** Idle time from which an adapter may be evicted. */
  readonly minimumIdleMilliseconds: number;
}

/**
 * Chooses the engine on which to load an adapter. Prefers the least loaded
 * engine with a free adapter slot. If every slot is taken, evicts the least
 * recently used adapter, so that more adapters can be served than fit at once.
 *
 * @return undefined if no slot is free and no adapter is idle long enough.
 */
export function planAdapterLoad(
  wanted: AdapterKey,
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
  {idleMilliseconds, minimumIdleMilliseconds}: AdapterUsage,
): AdapterPlan | undefined {
  let best: AdapterPlan | undefined;
  let longest = minimumIdleMilliseconds;
  for (const {holdings} of candidates) {
    for (const adapterKey of holdings.committedAdapters()) {
      const idle = idleMilliseconds(adapterKey);
      if (idle < longest) continue;
      longest = idle;
      best = {holdings, evicted: adapterKey};
    }
  }
  return best;
}

/**
 * Load of an engine. Each loaded adapter counts as one request, since it will
 * attract requests of its own.
 */
function expectedRequests({holdings, inFlight}: AdapterCandidate): number {
  return inFlight + holdings.committedAdapters().length;
}
