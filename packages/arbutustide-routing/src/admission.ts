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

/** Share of the newest request in the mean service time. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Demand of the other nodes. */
export interface PeerDemand {
  /** Requests to an entry in flight and queued at the other nodes. */
  entry(entryName: string): number;
  /** Requests to all adapters in flight and queued at the other nodes. */
  adapters(): number;
  /** Nodes that serve callers, this one included. */
  nodeCount(): number;
}

/** What bounds the requests of one node. */
export interface AdmissionOptions {
  readonly upstreamConcurrency: number;
  readonly adapterConcurrency: number;
  readonly initialServiceMilliseconds: number;
  /** Replicas of an entry that take new work. */
  readonly replicaCount: (entry: CatalogueEntry) => number;
  readonly peerDemand: PeerDemand;
}

/** Demand for one entry at this node. */
export interface EntryLoad {
  readonly entryName: string;
  readonly inFlight: number;
  readonly queued: number;
}

interface EntryLimiter {
  readonly limiter: ConcurrencyLimiter;
  readonly serviceTime: MovingAverage;
  entry: CatalogueEntry;
}

/**
 * Lets requests in: a gate for each entry, which shares the concurrency of its
 * replicas among the nodes, and one gate for all adapters, which shares the
 * number of adapter requests the fleet serves without slowing down.
 */
export class Admission {
  private readonly limitersByEntry = new Map<string, EntryLimiter>();
  private readonly adapterLimiter: ConcurrencyLimiter;
  private readonly adapterServiceTime: MovingAverage;

  constructor(private readonly options: AdmissionOptions) {
    this.adapterServiceTime = this.newServiceTimeAverage();
    this.adapterLimiter = new ConcurrencyLimiter(
      this.adapterConcurrencyLimits(),
    );
  }

  /** Waits for a place for a request to an entry. */
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

  /** Takes the time an upstream needed for one request. */
  recordServiceTime(entry: CatalogueEntry, milliseconds: number): void {
    this.entryLimiterFor(entry).serviceTime.add(milliseconds);
    if (entry.kind === EntryKind.ADAPTER) {
      this.adapterServiceTime.add(milliseconds);
    }
  }

  /** Mean time of one request to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.entryLimiterFor(entry).serviceTime.value;
  }

  /** Demand for each entry that was ever asked for. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, {limiter: gate}] of this.limitersByEntry) {
      const {inFlight, queued} = gate;
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
    const entryGate: EntryLimiter = {
      limiter: new ConcurrencyLimiter(
        this.entryConcurrencyLimits(entry.name, serviceTime),
      ),
      serviceTime,
      entry,
    };
    this.limitersByEntry.set(entry.name, entryGate);
    return entryGate;
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
    const entryGate = this.limitersByEntry.get(name);
    if (!entryGate) return 1;
    const {replicaCount, upstreamConcurrency, peerDemand} = this.options;
    const replicas = Math.max(1, replicaCount(entryGate.entry));
    const concurrencyShare = clusterShare(replicas * upstreamConcurrency, {
      ownRequests: entryGate.limiter.inFlight + entryGate.limiter.queued,
      peerRequests: peerDemand.entry(name),
      servingNodeCount: peerDemand.nodeCount(),
    });
    return Math.min(entryGate.entry.maximumInFlight, concurrencyShare);
  }

  private adapterConcurrencyLimits(): ConcurrencyLimits {
    const {adapterConcurrency, peerDemand} = this.options;
    return {
      maximumInFlight: () =>
        clusterShare(adapterConcurrency, {
          ownRequests:
            this.adapterLimiter.inFlight + this.adapterLimiter.queued,
          peerRequests: peerDemand.adapters(),
          servingNodeCount: peerDemand.nodeCount(),
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
