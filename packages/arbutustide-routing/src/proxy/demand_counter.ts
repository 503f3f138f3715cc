import type {EntryLoad} from '../admission_controller.js';
import type {ModelReference} from './route.js';
import type {RoutedRequest} from './routed_request.js';

import {effectivePriority} from './routed_request.js';

interface EntryCounts {
  /** False for plain services, of which only the queue is of interest. */
  readonly isHolding: boolean;
  inFlight: number;
  queued: number;
  /** Queued requests by priority; empty for adapters. */
  readonly queuedByPriority: number[];
  /** Exponentially decaying count, valid at the time in the next field. */
  recentRefusals: number;
  refusalsUpdatedAtMilliseconds: number;
}

/** What a request asks for. */
export type DemandedEntry = Pick<RoutedRequest, 'service'> & {
  /** Undefined for requests to plain services. */
  readonly modelRequest: ModelReference | undefined;
};

/** Requests at this node for one model or adapter. */
export interface EntryDemand {
  readonly inFlight: number;
  /** Queued, plus those refused recently, whose callers will retry. */
  readonly queued: number;
  /** Requests that are queued now; the index is the priority. */
  readonly queuedByPriority: readonly number[];
}

/** Time constant of the decay of refused requests in the demand. */
const REFUSAL_DECAY_MILLISECONDS = 2_000;

/** Idle entries are evicted while there are more entries than this. */
const MAXIMUM_ENTRIES_WITH_IDLE = 256;

/** Less urgent requests are counted with those of this priority. */
const LAST_COUNTED_PRIORITY = 15;

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

/** Entry name of a plain service in the demand that nodes exchange. */
function plainEntryName(service: string): string {
  return modelEntryName(service, '');
}

/** Entry name of what a request waits for. */
export function entryNameOf({
  service,
  modelRequest,
}: Pick<RoutedRequest, 'service' | 'modelRequest'>): string {
  return modelRequest
    ? modelEntryName(service, modelRequest.model)
    : plainEntryName(service);
}

/** Position of a priority in counts by priority. */
export function priorityIndex(priority: number): number {
  return Math.min(LAST_COUNTED_PRIORITY, Math.max(0, Math.round(priority)));
}

/**
 * Counts this node's queued and in-flight requests by model and adapter, and the
 * queued ones by priority.
 */
export class DemandCounter {
  private readonly counts = new Map<string, EntryCounts>();

  /** Counts a request that enters the queue. */
  recordQueued(request: RoutedRequest): void {
    for (const count of this.countsForRequest(request)) {
      count.queued += 1;
    }
    this.countByPriority(request, 1);
  }

  /** Moves a request from queued to in flight. */
  recordSlotTaken(request: RoutedRequest): void {
    for (const count of this.countsForRequest(request)) {
      count.queued -= 1;
      count.inFlight += 1;
    }
    this.countByPriority(request, -1);
  }

  /** Removes a request that gave its slot back or was refused one. */
  recordEnded(request: RoutedRequest, hadSlot: boolean): void {
    if (!hadSlot) this.countByPriority(request, -1);
    for (const count of this.countsForRequest(request)) {
      if (hadSlot) {
        count.inFlight -= 1;
        continue;
      }
      count.queued -= 1;
      countRefusal(count);
    }
  }

  /** Counts a request that was refused before it entered the queue. */
  recordRefused(entry: DemandedEntry): void {
    for (const count of this.countsForRequest(entry)) countRefusal(count);
  }

  /** Demand for each known entry; evicts idle entries beyond the limit. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, count] of this.counts) {
      const demand = demandOf(count);
      const isIdle = count.inFlight === 0 && demand.queued === 0;
      if (isIdle && this.counts.size > MAXIMUM_ENTRIES_WITH_IDLE) {
        this.counts.delete(entryName);
      }
      yield {entryName, ...demand};
    }
  }

  /** Demand for one entry; undefined when the entry is unknown. */
  demandFor(entryName: string): EntryDemand | undefined {
    const count = this.counts.get(entryName);
    return count && demandOf(count);
  }

  /** Queued requests by priority, for each model and plain service with some. */
  *queuedByPriority(): Generator<readonly [string, readonly number[]]> {
    for (const [entryName, {queued, queuedByPriority}] of this.counts) {
      if (queued > 0 && queuedByPriority.length > 0)
        yield [entryName, queuedByPriority];
    }
  }

  private countByPriority(request: RoutedRequest, change: number): void {
    const {queuedByPriority} = this.countsForEntry(entryNameOf(request));
    const index = priorityIndex(effectivePriority(request));
    while (queuedByPriority.length <= index) queuedByPriority.push(0);
    queuedByPriority[index] += change;
  }

  private *countsForRequest({
    service,
    modelRequest,
  }: DemandedEntry): Generator<EntryCounts> {
    if (!modelRequest) {
      yield this.countsForEntry(plainEntryName(service), false);
      return;
    }
    const {model, adapter} = modelRequest;
    yield this.countsForEntry(modelEntryName(service, model));
    if (adapter === undefined) return;
    yield this.countsForEntry(adapterEntryName(service, model, adapter));
  }

  private countsForEntry(entryName: string, isHolding = true): EntryCounts {
    const known = this.counts.get(entryName);
    if (known) return known;
    const count: EntryCounts = {
      isHolding,
      queuedByPriority: [],
      inFlight: 0,
      queued: 0,
      recentRefusals: 0,
      refusalsUpdatedAtMilliseconds: 0,
    };
    this.counts.set(entryName, count);
    return count;
  }
}

function countRefusal(count: EntryCounts): void {
  count.recentRefusals = decayedRefusals(count) + 1;
  count.refusalsUpdatedAtMilliseconds = performance.now();
}

function decayedRefusals({
  recentRefusals,
  refusalsUpdatedAtMilliseconds,
}: EntryCounts): number {
  const age = performance.now() - refusalsUpdatedAtMilliseconds;
  return recentRefusals * Math.exp(-age / REFUSAL_DECAY_MILLISECONDS);
}

function demandOf(count: EntryCounts): EntryDemand {
  const {isHolding, inFlight, queued, queuedByPriority} = count;
  if (!isHolding) return {inFlight: 0, queued, queuedByPriority};
  return {
    inFlight,
    queued: queued + Math.round(decayedRefusals(count)),
    queuedByPriority,
  };
}
