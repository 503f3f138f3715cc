import type {EntryLoad} from '../admission_controller.js';
import type {RoutedRequest} from './routed_request.js';

interface EntryCounts {
  inFlight: number;
  queued: number;
  /** Exponentially decaying count, valid at the time in the next field. */
  recentRefusals: number;
  refusalsUpdatedAtMilliseconds: number;
}

/** Requests at this node for one model or adapter. */
export interface EntryDemand {
  readonly inFlight: number;
  /** Queued, plus those refused recently, whose callers will retry. */
  readonly queued: number;
}

/** Time constant of the decay of refused requests in the demand. */
const REFUSAL_DECAY_MILLISECONDS = 2_000;

/** Idle entries are evicted while there are more entries than this. */
const MAXIMUM_ENTRIES_WITH_IDLE = 256;

/** Entry name of a model in the demand that nodes exchange. */
export function modelEntryName(service: string, model: string): string {
  return `${service}/${model}`;
}

/** Entry name of an adapter in the demand that nodes exchange. */
export function adapterEntryName(
  service: string,
  model: string,
  adapter: string,
): string {
  return `${service}/${model}/${adapter}`;
}

/** Counts this node's queued and in-flight requests by model and adapter. */
export class DemandCounter {
  private readonly counts = new Map<string, EntryCounts>();

  /** Counts a request that enters the queue. */
  recordQueued(request: RoutedRequest): void {
    for (const count of this.countsForRequest(request)) {
      count.queued += 1;
    }
  }

  /** Moves a request from queued to in flight. */
  recordSlotTaken(request: RoutedRequest): void {
    for (const count of this.countsForRequest(request)) {
      count.queued -= 1;
      count.inFlight += 1;
    }
  }

  /** Removes a request that gave its slot back or was refused one. */
  recordEnded(request: RoutedRequest, hadSlot: boolean): void {
    for (const count of this.countsForRequest(request)) {
      if (hadSlot) {
        count.inFlight -= 1;
        continue;
      }
      count.queued -= 1;
      count.recentRefusals = decayedRefusals(count) + 1;
      count.refusalsUpdatedAtMilliseconds = performance.now();
    }
  }

  /** Demand for each known entry; evicts idle entries beyond the limit. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, count] of this.counts) {
      const isIdle = count.inFlight === 0 && count.queued === 0;
      if (isIdle && this.counts.size > MAXIMUM_ENTRIES_WITH_IDLE) {
        this.counts.delete(entryName);
      }
      yield {entryName, ...demandOf(count)};
    }
  }

  /** Demand for one entry; undefined when the entry is unknown. */
  demandFor(entryName: string): EntryDemand | undefined {
    const count = this.counts.get(entryName);
    return count && demandOf(count);
  }

  private *countsForRequest({
    service,
    modelRequest,
  }: RoutedRequest): Generator<EntryCounts> {
    if (!modelRequest) return;
    const {model, adapter} = modelRequest;
    yield this.countsForEntry(modelEntryName(service, model));
    if (adapter === undefined) return;
    yield this.countsForEntry(adapterEntryName(service, model, adapter));
  }

  private countsForEntry(entryName: string): EntryCounts {
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
  recentRefusals,
  refusalsUpdatedAtMilliseconds,
}: EntryCounts): number {
  const age = performance.now() - refusalsUpdatedAtMilliseconds;
  return recentRefusals * Math.exp(-age / REFUSAL_DECAY_MILLISECONDS);
}

function demandOf(count: EntryCounts): EntryDemand {
  const {inFlight, queued} = count;
  return {inFlight, queued: queued + Math.round(decayedRefusals(count))};
}
