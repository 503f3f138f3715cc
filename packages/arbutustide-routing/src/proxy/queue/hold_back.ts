import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {PublishedDemand} from './competing_requests.js';

import {entryNameOf, priorityIndex} from '../demand_counter.js';
import {effectivePriority} from '../routed_request.js';
import {countFreeSlots} from './expected_wait.js';
import {requirementKey} from './queue_order.js';

/** What this node knows of its peers and of the order of service. */
export interface HoldBackOptions {
  /** What the peers publish of a model or plain service. */
  readonly peerDemand: (entryName: string) => PublishedDemand | undefined;
  /** Whether requests are held back at all. */
  readonly isEnabled: () => boolean;
  /** Whether the request's priority is starved and need not give way. */
  readonly isFavoured: (progress: RoutedRequestProgress) => boolean;
}

/**
 * How long a free slot is left to more urgent requests at other nodes. Their
 * queues look for slots every 100 ms.
 */
const HOLD_BACK_MILLISECONDS = 150;
/** A slot that was not looked at for this long may have been taken meanwhile. */
const FREE_RETENTION_MILLISECONDS = 400;

/**
 * Time until peers know that this node has returned a slot, at least. Until
 * then it would stay unused if it were left to them.
 */
const PUBLISHING_MILLISECONDS = 700;

/** Number of keys from which old ones are deleted. */
const MAXIMUM_KEYS = 100;

interface FreeSlots {
  readonly sinceMilliseconds: number;
  seenAtMilliseconds: number;
}

/**
 * Leaves free slots for a moment to more urgent requests that wait for the same
 * model at other nodes. Load: one request at each of many nodes, urgent and
 * deferred ones, for fewer slots.
 */
export class HoldBack {
  private readonly freeByKey = new Map<string, FreeSlots>();
  /** When this node returned slots of which the peers do not know yet. */
  private readonly returnedAt = new WeakMap<ProxyUpstream, number[]>();

  constructor(private readonly options: HoldBackOptions) {}

  /**
   * Whether the request must not take a slot yet, although one is free. Retries
   * are not held back, as their callers have waited already.
   *
   * @param candidates upstreams whose software may serve the request.
   */
  withholds(
    progress: RoutedRequestProgress,
    candidates: readonly ProxyUpstream[],
    fullShare: number,
  ): boolean {
    const {request, triedUpstreams} = progress;
    if (triedUpstreams.size > 0 || !this.options.isEnabled()) return false;
    const entryName = entryNameOf(request);
    const demand = this.options.peerDemand(entryName);
    const priority = priorityIndex(effectivePriority(request));
    const urgentCount = demand ? countMoreUrgent(demand, priority) : 0;
    if (urgentCount === 0 || this.options.isFavoured(progress)) return false;
    const {modelRequest} = request;
    const free = countFreeSlots(candidates, modelRequest, fullShare);
    if (free > urgentCount) return false;
    const isKnownToPeers = candidates.some(
      upstream =>
        countFreeSlots([upstream], modelRequest, fullShare) >
        this.countUnpublished(upstream),
    );
    if (!isKnownToPeers) return false;
    return this.isFreeForMoment(holdBackKey(progress));
  }

  /**
   * Records that all upstreams are full for a request. Retries do not count, as
   * the upstreams that they have tried may be free.
   */
  recordFull(progress: RoutedRequestProgress): void {
    if (this.freeByKey.size === 0 || progress.triedUpstreams.size > 0) return;
    this.freeByKey.delete(holdBackKey(progress));
  }

  /** Records that a request of this node returned its slot. */
  recordReturned(upstream: ProxyUpstream): void {
    const returnedAt = this.returnedAt.get(upstream) ?? [];
    const now = performance.now();
    const oldest = now - PUBLISHING_MILLISECONDS;
    const recent = returnedAt.filter(returned => returned > oldest);
    this.returnedAt.set(upstream, [...recent, now]);
  }

  /** Slots that this node has returned and the peers do not know to be free. */
  private countUnpublished(upstream: ProxyUpstream): number {
    const oldest = performance.now() - PUBLISHING_MILLISECONDS;
    const returnedAt = this.returnedAt.get(upstream) ?? [];
    return returnedAt.filter(returned => returned > oldest).length;
  }

  private deleteOld(now: number): void {
    const oldest = now - FREE_RETENTION_MILLISECONDS;
    for (const [key, {seenAtMilliseconds}] of this.freeByKey)
      if (seenAtMilliseconds < oldest) this.freeByKey.delete(key);
  }

  private isFreeForMoment(key: string): boolean {
    const now = performance.now();
    const known = this.freeByKey.get(key);
    const seenAt = known?.seenAtMilliseconds ?? -Infinity;
    if (!known || now - seenAt > FREE_RETENTION_MILLISECONDS) {
      if (this.freeByKey.size >= MAXIMUM_KEYS) this.deleteOld(now);
      this.freeByKey.set(key, {
        sinceMilliseconds: now,
        seenAtMilliseconds: now,
      });
      return true;
    }
    known.seenAtMilliseconds = now;
    return now - known.sinceMilliseconds < HOLD_BACK_MILLISECONDS;
  }
}

/**
 * Requests that differ in what they need must not share a time: one that finds
 * its upstreams full would restart the time of another for ever.
 */
function holdBackKey(progress: RoutedRequestProgress): string {
  const priority = effectivePriority(progress.request);
  return `${requirementKey(progress)} ${priority}`;
}

function countMoreUrgent(
  {queuedByPriority}: PublishedDemand,
  priority: number,
): number {
  let count = 0;
  for (const queued of queuedByPriority.slice(0, priority))
    count += queued ?? 0;
  return count;
}
