import type {EntryLoad} from '../admission.js';
import type {RoutedRequest} from './routed_request.js';

interface EntryCounts {
  inFlight: number;
  queued: number;
  /** Requests refused of late; fades, and was right at the time beside it. */
  recentRefusals: number;
  refusalsUpdatedAtMilliseconds: number;
}

/** Requests of this node to one entry. */
export interface EntryDemand {
  readonly inFlight: number;
  /** Waiting, or refused so lately that their callers will be back. */
  readonly queued: number;
}

/** Time in which a refused request fades from the demand. */
const REFUSAL_DECAY_MILLISECONDS = 2_000;

/** Entries without requests are forgotten beyond this many. */
const MAXIMUM_ENTRIES_WITH_IDLE = 256;

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
  private readonly counts = new Map<string, EntryCounts>();

  /** Counts a request that has arrived and waits. */
  recordQueued(request: RoutedRequest): void {
    for (const countsForEntry of this.countsForRequest(request)) {
      countsForEntry.queued += 1;
    }
  }

  /** Counts a request that has been given a place. */
  recordSlotTaken(request: RoutedRequest): void {
    for (const count of this.countsForRequest(request)) {
      count.queued -= 1;
      count.inFlight += 1;
    }
  }

  /** Counts a request that has ended, or whose attempt has. */
  recordEnded(request: RoutedRequest, wasPlaced: boolean): void {
    for (const count of this.countsForRequest(request)) {
      if (wasPlaced) {
        count.inFlight -= 1;
        continue;
      }
      count.queued -= 1;
      count.recentRefusals = decayedRefusals(count) + 1;
      count.refusalsUpdatedAtMilliseconds = performance.now();
    }
  }

  /** The demand for each entry that has any. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, count] of this.counts) {
      const isIdle = count.inFlight === 0 && count.queued === 0;
      if (isIdle && this.counts.size > MAXIMUM_ENTRIES_WITH_IDLE) {
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

  private *countsForRequest({
    service,
    modelRequest,
  }: RoutedRequest): Generator<EntryCounts> {
    if (!modelRequest) return;
    const {model, adapter} = modelRequest;
    yield this.count(modelEntry(service, model));
    if (adapter === undefined) return;
    yield this.count(adapterEntry(service, model, adapter));
  }

  private count(entryName: string): EntryCounts {
    const known = this.counts.get(entryName);
    if (known) return known;
    const count: EntryCounts = {
      inFlight: 0,
      queued: 0,
      recentRefusals: 0,
      refusalsUpdatedAtMilliseconds: 0,
    };
    this.counts.set(entryName, count);
    return count;
  }
}

function decayedRefusals({
  recentRefusals: missed,
  refusalsUpdatedAtMilliseconds: missedAtMilliseconds,
}: EntryCounts): number {
  const age = performance.now() - missedAtMilliseconds;
  return missed * Math.exp(-age / REFUSAL_DECAY_MILLISECONDS);
}

function demandOf(count: EntryCounts): EntryDemand {
  const {inFlight, queued} = count;
  return {inFlight, queued: queued + Math.round(decayedRefusals(count))};
}
