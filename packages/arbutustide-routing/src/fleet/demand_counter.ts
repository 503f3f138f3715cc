import type {EntryLoad} from '../admission.js';
import type {RoutedRequest} from './routed_request.js';

interface Count {
  inFlight: number;
  queued: number;
  /** Requests refused of late; fades, and was right at the time beside it. */
  missed: number;
  missedAtMilliseconds: number;
}

/** Requests of this node to one entry. */
export interface EntryDemand {
  readonly inFlight: number;
  /** Waiting, or refused so lately that their callers will be back. */
  readonly queued: number;
}

/** Time in which a refused request fades from the demand. */
const MISSED_FADE_MILLISECONDS = 2_000;

/** Entries without requests are forgotten beyond this many. */
const IDLE_ENTRIES = 256;

/** Name under which nodes tell each other of the demand for a model. */
export function modelEntry(service: string, model: string): string {
  return `${service}/${model}`;
}

/** Name under which nodes tell each other of the demand for an adapter. */
export function adapterEntry(
  service: string,
  model: string,
  adapter: string,
): string {
  return `${service}/${model}/${adapter}`;
}

/** Counts this node's requests by model and by adapter. */
export class DemandCounter {
  private readonly counts = new Map<string, Count>();

  /** Counts a request that has arrived and waits. */
  arrived(request: RoutedRequest): void {
    for (const count of this.countsOf(request)) {
      count.queued += 1;
    }
  }

  /** Counts a request that has been given a place. */
  placed(request: RoutedRequest): void {
    for (const count of this.countsOf(request)) {
      count.queued -= 1;
      count.inFlight += 1;
    }
  }

  /** Counts a request that has ended, or whose attempt has. */
  ended(request: RoutedRequest, wasPlaced: boolean): void {
    for (const count of this.countsOf(request)) {
      if (wasPlaced) {
        count.inFlight -= 1;
        continue;
      }
      count.queued -= 1;
      count.missed = missedNow(count) + 1;
      count.missedAtMilliseconds = performance.now();
    }
  }

  /** The demand for each entry that has any. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, count] of this.counts) {
      const isIdle = count.inFlight === 0 && count.queued === 0;
      if (isIdle && this.counts.size > IDLE_ENTRIES) {
        this.counts.delete(entryName);
      }
      yield {entryName, ...demandOf(count)};
    }
  }

  /** The demand for one entry. */
  load(entryName: string): EntryDemand | undefined {
    const count = this.counts.get(entryName);
    return count && demandOf(count);
  }

  private *countsOf({service, modelRequest}: RoutedRequest): Generator<Count> {
    if (!modelRequest) return;
    const {model, adapter} = modelRequest;
    yield this.count(modelEntry(service, model));
    if (adapter === undefined) return;
    yield this.count(adapterEntry(service, model, adapter));
  }

  private count(entryName: string): Count {
    const known = this.counts.get(entryName);
    if (known) return known;
    const count: Count = {
      inFlight: 0,
      queued: 0,
      missed: 0,
      missedAtMilliseconds: 0,
    };
    this.counts.set(entryName, count);
    return count;
  }
}

function missedNow({missed, missedAtMilliseconds}: Count): number {
  const age = performance.now() - missedAtMilliseconds;
  return missed * Math.exp(-age / MISSED_FADE_MILLISECONDS);
}

function demandOf(count: Count): EntryDemand {
  const {inFlight, queued} = count;
  return {inFlight, queued: queued + Math.round(missedNow(count))};
}
