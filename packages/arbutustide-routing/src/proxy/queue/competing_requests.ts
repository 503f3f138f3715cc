import type {WaitingEntry} from './expected_wait.js';
import type {QueuePosition} from './queue_position.js';

import {modelEntryName, priorityIndex} from '../demand_counter.js';
import {Standing} from './queue_position.js';

/** What the peers publish of one model or plain service. */
export interface PublishedDemand {
  /** Queued requests; the index is the priority. */
  readonly queuedByPriority: readonly number[];
}

/** Peers' records change more slowly than this. */
const MAXIMUM_AGE_MILLISECONDS = 100;

/** Queued requests of this node and its peers. */
export interface CompetingRequestsOptions {
  readonly listOwnQueued: () => Iterable<readonly [string, readonly number[]]>;
  readonly listPeerDemands: () => Iterable<readonly [string, PublishedDemand]>;
}

/** Which of the waiting requests are served before a request. */
export interface CompetingTerms {
  readonly service: string;
  /** Undefined for a plain service. */
  readonly model: string | undefined;
  readonly priority: number;
  readonly position: QueuePosition;
}

interface CountedEntry {
  readonly model: string | undefined;
  readonly moreUrgent: number;
  readonly inPriority: number;
  readonly isOwn: boolean;
}

interface CachedEntries {
  readonly computedAtMilliseconds: number;
  readonly entries: readonly CountedEntry[];
}

/**
 * Lists what waits in the cluster and is served before a request. The counts
 * are kept for a short time, as queues ask for them often.
 */
export class CompetingRequests {
  private readonly cache = new Map<string, CachedEntries>();

  constructor(private readonly options: CompetingRequestsOptions) {}

  /**
   * The requests that are served before, at the peers and, for other models, at
   * this node. Of those of the same priority, as large a part counts as is before
   * the request here: the others' requests are taken to be of the same kinds.
   */
  *list({
    service,
    model,
    priority,
    position: {standing, aheadShareInPriority},
  }: CompetingTerms): Generator<WaitingEntry> {
    for (const entry of this.entriesFor(service, priorityIndex(priority))) {
      if (entry.isOwn && entry.model === model) continue;
      const {moreUrgent, inPriority} = entry;
      const isAheadOfUrgent = standing === Standing.FAVOURED;
      const count =
        (isAheadOfUrgent ? 0 : moreUrgent) + aheadShareInPriority * inPriority;
      yield {model: entry.model, count};
    }
  }

  private entriesFor(service: string, index: number): readonly CountedEntry[] {
    const key = `${service} ${index}`;
    const known = this.cache.get(key);
    const now = performance.now();
    if (known && now - known.computedAtMilliseconds < MAXIMUM_AGE_MILLISECONDS)
      return known.entries;
    const {listOwnQueued, listPeerDemands} = this.options;
    const entries = [
      ...countEntries(listOwnQueued(), service, index, true),
      ...countEntries(queuedByEntry(listPeerDemands()), service, index, false),
    ];
    this.cache.set(key, {computedAtMilliseconds: now, entries});
    return entries;
  }
}

function* queuedByEntry(
  demands: Iterable<readonly [string, PublishedDemand]>,
): Generator<readonly [string, readonly number[]]> {
  for (const [entryName, {queuedByPriority}] of demands)
    yield [entryName, queuedByPriority];
}

function* countEntries(
  queued: Iterable<readonly [string, readonly number[]]>,
  service: string,
  index: number,
  isOwn: boolean,
): Generator<CountedEntry> {
  const prefix = modelEntryName(service, '');
  for (const [entryName, counts] of queued) {
    if (!entryName.startsWith(prefix)) continue;
    const inPriority = counts[index] ?? 0;
    let moreUrgent = 0;
    for (const count of counts.slice(0, index)) moreUrgent += count ?? 0;
    if (inPriority + moreUrgent === 0) continue;
    const name = entryName.slice(prefix.length);
    const model = name === '' ? undefined : name;
    yield {model, moreUrgent, inPriority, isOwn};
  }
}
