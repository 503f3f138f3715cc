import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AdmissionRequest, GateLimits, Permit} from './admission_gate.js';

import {EntryKind} from '@arbutustide/catalogue';
import {Ok} from 'ts-results';

import {AdmissionGate} from './admission_gate.js';
import {fleetShare} from './fleet_share.js';
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

interface EntryGate {
  readonly gate: AdmissionGate;
  readonly serviceTime: MovingAverage;
  entry: CatalogueEntry;
}

/**
 * Lets requests in: a gate for each entry, which shares the concurrency of its
 * replicas among the nodes, and one gate for all adapters, which shares the
 * number of adapter requests the fleet serves without slowing down.
 */
export class Admission {
  private readonly gates = new Map<string, EntryGate>();
  private readonly adapterGate: AdmissionGate;
  private readonly adapterServiceTime: MovingAverage;

  constructor(private readonly options: AdmissionOptions) {
    this.adapterServiceTime = this.newServiceTime();
    this.adapterGate = new AdmissionGate(this.adapterLimits());
  }

  /** Waits for a place for a request to an entry. */
  async enter(
    entry: CatalogueEntry,
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    const permit = await this.gateOf(entry).gate.enter(request);
    if (!permit.ok || entry.kind !== EntryKind.ADAPTER) return permit;
    const adapterPermit = await this.adapterGate.enter(request);
    if (!adapterPermit.ok) {
      permit.val.release();
      return adapterPermit;
    }
    return Ok({
      release: () => {
        adapterPermit.val.release();
        permit.val.release();
      },
    });
  }

  /** Takes the time an upstream needed for one request. */
  recordServiceTime(entry: CatalogueEntry, milliseconds: number): void {
    this.gateOf(entry).serviceTime.add(milliseconds);
    if (entry.kind === EntryKind.ADAPTER) {
      this.adapterServiceTime.add(milliseconds);
    }
  }

  /** Mean time of one request to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.gateOf(entry).serviceTime.value;
  }

  /** Demand for each entry that was ever asked for. */
  *loads(): Generator<EntryLoad> {
    for (const [entryName, {gate}] of this.gates) {
      const {inFlight, queued} = gate;
      yield {entryName, inFlight, queued};
    }
  }

  private gateOf(entry: CatalogueEntry): EntryGate {
    const known = this.gates.get(entry.name);
    if (known) {
      known.entry = entry;
      return known;
    }
    const serviceTime = this.newServiceTime();
    const entryGate: EntryGate = {
      gate: new AdmissionGate(this.entryLimits(entry.name, serviceTime)),
      serviceTime,
      entry,
    };
    this.gates.set(entry.name, entryGate);
    return entryGate;
  }

  private entryLimits(name: string, serviceTime: MovingAverage): GateLimits {
    return {
      inFlight: () => this.entryLimit(name),
      queued: () => this.gates.get(name)?.entry.maximumQueued ?? 0,
      serviceMilliseconds: () => serviceTime.value,
    };
  }

  private entryLimit(name: string): number {
    const known = this.gates.get(name);
    if (!known) return 1;
    const {replicaCount, upstreamConcurrency, peerDemand} = this.options;
    const replicas = Math.max(1, replicaCount(known.entry));
    const share = fleetShare(replicas * upstreamConcurrency, {
      own: known.gate.inFlight + known.gate.queued,
      peers: peerDemand.entry(name),
      nodeCount: peerDemand.nodeCount(),
    });
    return Math.min(known.entry.maximumInFlight, share);
  }

  private adapterLimits(): GateLimits {
    const {adapterConcurrency, peerDemand} = this.options;
    return {
      inFlight: () =>
        fleetShare(adapterConcurrency, {
          own: this.adapterGate.inFlight + this.adapterGate.queued,
          peers: peerDemand.adapters(),
          nodeCount: peerDemand.nodeCount(),
        }),
      queued: () => Infinity,
      serviceMilliseconds: () => this.adapterServiceTime.value,
    };
  }

  private newServiceTime(): MovingAverage {
    const {initialServiceMilliseconds} = this.options;
    return new MovingAverage(initialServiceMilliseconds, SERVICE_TIME_WEIGHT);
  }
}
