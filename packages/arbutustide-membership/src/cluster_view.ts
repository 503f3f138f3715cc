import type {
  Field,
  UpstreamHoldings,
  UpstreamObservation,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {MemberTable} from './member_table.js';

import {NodeState} from './gen/arbutustide/membership/v1/membership_pb.js';
import {findNodeStatus, STATUS_KEY} from './member_record.js';

/** A summary this old is computed anew, in milliseconds. */
const MAXIMUM_SUMMARY_AGE_MILLISECONDS = 100;

/** A node as this node knows it. */
export interface ClusterNode {
  readonly identity: string;
  readonly name: string;
  readonly peerUrl: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: NodeState;
  readonly catalogueRevision: number;
  /** Epoch of the planner's lease while the node holds it; otherwise zero. */
  readonly plannerEpoch: number;
}

/** Requests to one entry, summed over nodes. */
export interface DemandSummary {
  inFlight: number;
  queued: number;
}

/** What a node read from an upstream's report. */
export interface PeerObservation {
  readonly observation: UpstreamObservation;
  /** Sequence within the writer's record; tells a new report from an old. */
  readonly sequence: number;
  readonly writer: string;
}

interface ClusterSummary {
  readonly computedAtMilliseconds: number;
  readonly peers: ClusterNode[];
  /** Other nodes that serve callers. */
  readyPeerCount: number;
  readonly requestsInFlightByUpstream: Map<string, number>;
  readonly demandByEntry: Map<string, DemandSummary>;
  readonly observations: PeerObservation[];
  /** Crashes by request fingerprint. */
  readonly crashCountByFingerprint: Map<string, number>;
  readonly runningSuspects: Set<string>;
  /** Holdings told by the planner of the highest epoch, by upstream. */
  readonly holdingsByUpstream: Map<string, UpstreamHoldings>;
  holdingsEpoch: number;
}

type FieldCase = NonNullable<Field['value']['case']>;
type FieldCollector = (
  field: Field,
  writer: string,
  into: ClusterSummary,
) => void;

const FIELD_COLLECTORS: Readonly<Record<FieldCase, FieldCollector>> = {
  status: () => {},
  load: (field, _writer, into) => {
    if (field.value.case !== 'load') return;
    const {upstreamId, inFlight} = field.value.value;
    into.requestsInFlightByUpstream.set(
      upstreamId,
      (into.requestsInFlightByUpstream.get(upstreamId) ?? 0) + inFlight,
    );
  },
  demand: (field, _writer, into) => {
    if (field.value.case !== 'demand') return;
    const {entry, inFlight, queued} = field.value.value;
    const sum = into.demandByEntry.get(entry) ?? emptyDemand();
    sum.inFlight += inFlight;
    sum.queued += queued;
    into.demandByEntry.set(entry, sum);
  },
  observation: (field, writer, into) => {
    if (field.value.case !== 'observation') return;
    const {sequence} = field;
    into.observations.push({observation: field.value.value, sequence, writer});
  },
  suspicion: (field, _writer, into) => {
    if (field.value.case !== 'suspicion') return;
    const {fingerprint, crashes, running} = field.value.value;
    if (running) into.runningSuspects.add(fingerprint);
    const known = into.crashCountByFingerprint.get(fingerprint) ?? 0;
    into.crashCountByFingerprint.set(fingerprint, known + crashes);
  },
  holdings: (field, _writer, into) => {
    if (field.value.case !== 'holdings') return;
    const {epoch, upstreamId} = field.value.value;
    if (epoch < into.holdingsEpoch) return;
    if (epoch > into.holdingsEpoch) into.holdingsByUpstream.clear();
    into.holdingsEpoch = epoch;
    into.holdingsByUpstream.set(upstreamId, field.value.value);
  },
};

/** Sums over the records of the other nodes; recomputed when grown old. */
export class ClusterView {
  private summary: ClusterSummary | undefined;

  constructor(private readonly table: MemberTable) {}

  /** Every node known, this one included. */
  nodes(): readonly ClusterNode[] {
    const own = this.ownNode();
    const others = this.currentSummary().peers;
    return own ? [own, ...others] : others;
  }

  /** Nodes that serve callers, this one included when it does. */
  readyNodes(): readonly ClusterNode[] {
    return this.nodes().filter(node => node.state === NodeState.READY);
  }

  /** The node that holds the planner's lease, as far as is heard. */
  planner(): ClusterNode | undefined {
    let planner: ClusterNode | undefined;
    for (const node of this.nodes()) {
      if (node.plannerEpoch > (planner?.plannerEpoch ?? 0)) planner = node;
    }
    return planner;
  }

  /** Highest epoch of a planner's lease that another node holds; or zero. */
  otherPlannerEpoch(): number {
    const epochs = this.currentSummary().peers.map(
      ({plannerEpoch}) => plannerEpoch,
    );
    return Math.max(0, ...epochs);
  }

  /** Whether a node that is heard of tells that it holds no planner's lease. */
  hasSteppedDown(identity: string): boolean {
    return this.currentSummary().peers.some(
      node => node.identity === identity && node.plannerEpoch === 0,
    );
  }

  /** Number of nodes that serve callers, this one included when it does. */
  readyNodeCount(): number {
    const own = this.table.own.get(STATUS_KEY);
    const isReady =
      own?.case === 'status' && own.value.state === NodeState.READY;
    return this.currentSummary().readyPeerCount + (isReady ? 1 : 0);
  }

  /** Requests of the other nodes in flight at an upstream. */
  peerLoad(upstreamId: string): number {
    return (
      this.currentSummary().requestsInFlightByUpstream.get(upstreamId) ?? 0
    );
  }

  /** Requests to an entry at the other nodes. */
  peerDemand(entry: string): DemandSummary {
    return this.currentSummary().demandByEntry.get(entry) ?? emptyDemand();
  }

  /** What the other nodes read from upstreams. */
  observations(): readonly PeerObservation[] {
    return this.currentSummary().observations;
  }

  /** What the planner, if it is another node, tells of the upstreams. */
  holdings(): ReadonlyMap<string, UpstreamHoldings> {
    return this.currentSummary().holdingsByUpstream;
  }

  /** Crashes the other nodes counted with a request in flight. */
  peerCrashes(fingerprint: string): number {
    return this.currentSummary().crashCountByFingerprint.get(fingerprint) ?? 0;
  }

  /** Whether other nodes run a suspect other than this one. */
  peersRunOtherSuspects(fingerprint: string): boolean {
    const {runningSuspects} = this.currentSummary();
    return runningSuspects.size > (runningSuspects.has(fingerprint) ? 1 : 0);
  }

  /** Whether a process is still heard of. */
  isAlive(identity: string): boolean {
    if (identity === this.table.own.identity) return true;
    return this.table.record(identity) !== undefined;
  }

  private ownNode(): ClusterNode | undefined {
    const value = this.table.own.get(STATUS_KEY);
    if (value?.case !== 'status') return undefined;
    return {...value.value, identity: this.table.own.identity};
  }

  private currentSummary(): ClusterSummary {
    const now = performance.now();
    const age = now - (this.summary?.computedAtMilliseconds ?? -Infinity);
    if (!this.summary || age > MAXIMUM_SUMMARY_AGE_MILLISECONDS) {
      this.summary = summarizePeers(this.table, now);
    }
    return this.summary;
  }
}

function summarizePeers(table: MemberTable, now: number): ClusterSummary {
  const summary: ClusterSummary = {
    computedAtMilliseconds: now,
    peers: [],
    readyPeerCount: 0,
    requestsInFlightByUpstream: new Map(),
    demandByEntry: new Map(),
    observations: [],
    crashCountByFingerprint: new Map(),
    runningSuspects: new Set(),
    holdingsByUpstream: new Map(),
    holdingsEpoch: 0,
  };
  for (const record of table.peerRecords()) {
    const status = findNodeStatus(record);
    if (status) summary.peers.push({...status, identity: record.identity});
    if (status?.state === NodeState.READY) summary.readyPeerCount += 1;
    for (const field of record.fields.values()) {
      const {case: fieldCase} = field.value;
      if (fieldCase)
        FIELD_COLLECTORS[fieldCase](field, record.identity, summary);
    }
  }
  return summary;
}

function emptyDemand(): DemandSummary {
  return {inFlight: 0, queued: 0};
}
