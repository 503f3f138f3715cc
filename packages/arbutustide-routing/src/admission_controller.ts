import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {
  AdmissionRequest,
  ConcurrencyLimits,
  Permit,
} from './concurrency_limiter.js';

import {EntryKind} from '@arbutustide/catalogue';
import {Ok} from 'ts-results';

import {ConcurrencyLimiter} from './concurrency_limiter.js';
import {clusterShare} from './cluster_share.js';
import {MovingAverage} from './moving_average.js';

/** Weight of the newest request in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Requests in flight and queued at the other nodes. */
export interface PeerDemand {
  /** Requests to one entry. */
  requestsToEntry(entryName: string): number;
  /** Requests to all entries of kind adapter. */
  requestsToAdapters(): number;
  /** Nodes that serve callers, this one included. */
  servingNodeCount(): number;
}

/** Limits of admission at one node. */
export interface AdmissionOptions {
  /** Requests that one replica runs at once. */
  readonly upstreamConcurrency: number;
  /** Adapter requests that all nodes together may have in flight. */
  readonly adapterConcurrency: number;
  /** Assumed service time of an entry before its first request ends. */
  readonly initialServiceMilliseconds: number;
  /** Number of replicas of an entry that accept new work. */
  readonly replicaCount: (entry: CatalogueEntry) => number;
  readonly peerDemand: PeerDemand;
}

/** Requests to one entry at this node. */
export interface EntryLoad {
  readonly entryName: string;
  readonly inFlight: number;
  readonly queued: number;
  /** Requests that are queued now; the index is the priority. */
  readonly queuedByPriority?: readonly number[];
}

interface EntryLimiter {
  readonly limiter: ConcurrencyLimiter;
  readonly serviceTime: MovingAverage;
  entry: CatalogueEntry;
}

/**
 * Admits requests through concurrency limiters. Each entry has a limiter whose
 * limit is this node's share of the concurrency of the entry's replicas. All
 * entries of kind adapter also share one limiter, whose limit is this node's
 * share of the number of adapter requests that all upstreams together can run
 * without slowing down.
 */
export class AdmissionController {
  private readonly limitersByEntry = new Map<string, EntryLimiter>();
  private readonly adapterLimiter: ConcurrencyLimiter;
  private readonly adapterServiceTime: MovingAverage;

  constructor(private readonly options: AdmissionOptions) {
    this.adapterServiceTime = this.newServiceTimeAverage();
    this.adapterLimiter = new ConcurrencyLimiter(
      this.adapterConcurrencyLimits(),
    );
  }

  /**
   * Waits for a slot for a request to an entry, and for an adapter slot where
   * the entry is an adapter. Returns the refusal if there is none in time.
   */
  async acquire(
    entry: CatalogueEntry,
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    const entryPermit =
      await this.entryLimiterFor(entry).limiter.acquire(request);
    if (!entryPermit.ok || entry.kind !== EntryKind.ADAPTER) return entryPermit;
    const adapterPermit = await this.adapterLimiter.acquire(request);
    if (!adapterPermit.ok) {
      entryPermit.val.release();
      return adapterPermit;
    }
    return Ok({
      release: () => {
        adapterPermit.val.release();
        entryPermit.val.release();
      },
    });
  }

  /** Adds the time that an upstream took for one request to the average. */
  recordServiceTime(entry: CatalogueEntry, milliseconds: number): void {
    this.entryLimiterFor(entry).serviceTime.add(milliseconds);
    if (entry.kind === EntryKind.ADAPTER) {
      this.adapterServiceTime.add(milliseconds);
    }
  }

  /** Mean service time of requests to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.entryLimiterFor(entry).serviceTime.value;
  }

  /** Load of each entry that has received a request at this node. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, {limiter}] of this.limitersByEntry) {
      const {inFlight, queued} = limiter;
      yield {entryName, inFlight, queued};
    }
  }

  private entryLimiterFor(entry: CatalogueEntry): EntryLimiter {
    const existing = this.limitersByEntry.get(entry.name);
    if (existing) {
      existing.entry = entry;
      return existing;
    }
    const serviceTime = this.newServiceTimeAverage();
    const entryLimiter: EntryLimiter = {
      limiter: new ConcurrencyLimiter(
        this.entryConcurrencyLimits(entry.name, serviceTime),
      ),
      serviceTime,
      entry,
    };
    this.limitersByEntry.set(entry.name, entryLimiter);
    return entryLimiter;
  }

  private entryConcurrencyLimits(
    name: string,
    serviceTime: MovingAverage,
  ): ConcurrencyLimits {
    return {
      maximumInFlight: () => this.entryConcurrencyLimit(name),
      maximumQueued: () =>
        this.limitersByEntry.get(name)?.entry.maximumQueued ?? 0,
      serviceMilliseconds: () => serviceTime.value,
    };
  }

  private entryConcurrencyLimit(name: string): number {
    const entryLimiter = this.limitersByEntry.get(name);
    if (!entryLimiter) return 1;
    const {replicaCount, upstreamConcurrency, peerDemand} = this.options;
    const replicas = Math.max(1, replicaCount(entryLimiter.entry));
    const concurrencyShare = clusterShare(replicas * upstreamConcurrency, {
      ownRequests: entryLimiter.limiter.inFlight + entryLimiter.limiter.queued,
      peerRequests: peerDemand.requestsToEntry(name),
      servingNodeCount: peerDemand.servingNodeCount(),
    });
    return Math.min(entryLimiter.entry.maximumInFlight, concurrencyShare);
  }

  private adapterConcurrencyLimits(): ConcurrencyLimits {
    const {adapterConcurrency, peerDemand} = this.options;
    return {
      maximumInFlight: () =>
        clusterShare(adapterConcurrency, {
          ownRequests:
            this.adapterLimiter.inFlight + this.adapterLimiter.queued,
          peerRequests: peerDemand.requestsToAdapters(),
          servingNodeCount: peerDemand.servingNodeCount(),
        }),
      maximumQueued: () => Infinity,
      serviceMilliseconds: () => this.adapterServiceTime.value,
    };
  }

  private newServiceTimeAverage(): MovingAverage {
    const {initialServiceMilliseconds} = this.options;
    return new MovingAverage(initialServiceMilliseconds, SERVICE_TIME_WEIGHT);
  }
}
