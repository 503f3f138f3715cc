import type {
  Field,
  UpstreamHoldings,
  UpstreamObservation,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {MemberTable} from './member_table.js';

import {NodeState} from './gen/arbutustide/membership/v1/membership_pb.js';
import {memberStatus, STATUS_KEY} from './member_record.js';

/** A summary this old is computed anew, in milliseconds. */
const SUMMARY_AGE_MILLISECONDS = 100;

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
export interface ReceivedObservation {
  readonly observation: UpstreamObservation;
  /** Sequence within the writer's record; tells a new report from an old. */
  readonly sequence: number;
  readonly writer: string;
}

interface Summary {
  readonly atMilliseconds: number;
  readonly nodes: ClusterNode[];
  /** Other nodes that serve callers. */
  readyCount: number;
  readonly loads: Map<string, number>;
  readonly demands: Map<string, DemandSummary>;
  readonly observations: ReceivedObservation[];
  /** Crashes by request fingerprint. */
  readonly suspicions: Map<string, number>;
  readonly runningSuspects: Set<string>;
  /** Holdings told by the planner of the highest epoch, by upstream. */
  readonly holdings: Map<string, UpstreamHoldings>;
  holdingsEpoch: number;
}

type FieldCase = NonNullable<Field['value']['case']>;
type FieldCollector = (field: Field, writer: string, into: Summary) => void;

const COLLECTORS: Readonly<Record<FieldCase, FieldCollector>> = {
  status: () => {},
  load: (field, _writer, into) => {
    if (field.value.case !== 'load') return;
    const {upstreamId, inFlight} = field.value.value;
    into.loads.set(upstreamId, (into.loads.get(upstreamId) ?? 0) + inFlight);
  },
  demand: (field, _writer, into) => {
    if (field.value.case !== 'demand') return;
    const {entry, inFlight, queued} = field.value.value;
    const sum = into.demands.get(entry) ?? emptyDemand();
    sum.inFlight += inFlight;
    sum.queued += queued;
    into.demands.set(entry, sum);
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
    const known = into.suspicions.get(fingerprint) ?? 0;
    into.suspicions.set(fingerprint, known + crashes);
  },
  holdings: (field, _writer, into) => {
    if (field.value.case !== 'holdings') return;
    const {epoch, upstreamId} = field.value.value;
    if (epoch < into.holdingsEpoch) return;
    if (epoch > into.holdingsEpoch) into.holdings.clear();
    into.holdingsEpoch = epoch;
    into.holdings.set(upstreamId, field.value.value);
  },
};

/** Sums over the records of the other nodes; recomputed when grown old. */
export class ClusterView {
  private summary: Summary | undefined;

  constructor(private readonly table: MemberTable) {}

  /** Every node known, this one included. */
  nodes(): readonly ClusterNode[] {
    const own = this.ownNode();
    const others = this.current().nodes;
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
    const epochs = this.current().nodes.map(({plannerEpoch}) => plannerEpoch);
    return Math.max(0, ...epochs);
  }

  /** Whether a node that is heard of tells that it holds no planner's lease. */
  hasSteppedDown(identity: string): boolean {
    return this.current().nodes.some(
      node => node.identity === identity && node.plannerEpoch === 0,
    );
  }

  /** Number of nodes that serve callers, this one included when it does. */
  readyNodeCount(): number {
    const own = this.table.own.get(STATUS_KEY);
    const isReady =
      own?.case === 'status' && own.value.state === NodeState.READY;
    return this.current().readyCount + (isReady ? 1 : 0);
  }

  /** Requests of the other nodes in flight at an upstream. */
  peerLoad(upstreamId: string): number {
    return this.current().loads.get(upstreamId) ?? 0;
  }

  /** Requests to an entry at the other nodes. */
  peerDemand(entry: string): DemandSummary {
    return this.current().demands.get(entry) ?? emptyDemand();
  }

  /** What the other nodes read from upstreams. */
  observations(): readonly ReceivedObservation[] {
    return this.current().observations;
  }

  /** What the planner, if it is another node, tells of the upstreams. */
  holdings(): ReadonlyMap<string, UpstreamHoldings> {
    return this.current().holdings;
  }

  /** Crashes the other nodes counted with a request in flight. */
  peerCrashes(fingerprint: string): number {
    return this.current().suspicions.get(fingerprint) ?? 0;
  }

  /** Whether other nodes run a suspect other than this one. */
  peersRunOtherSuspects(fingerprint: string): boolean {
    const {runningSuspects} = this.current();
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

  private current(): Summary {
    const now = performance.now();
    const age = now - (this.summary?.atMilliseconds ?? -Infinity);
    if (!this.summary || age > SUMMARY_AGE_MILLISECONDS) {
      this.summary = summarize(this.table, now);
    }
    return this.summary;
  }
}

function summarize(table: MemberTable, now: number): Summary {
  const summary: Summary = {
    atMilliseconds: now,
    nodes: [],
    readyCount: 0,
    loads: new Map(),
    demands: new Map(),
    observations: [],
    suspicions: new Map(),
    runningSuspects: new Set(),
    holdings: new Map(),
    holdingsEpoch: 0,
  };
  for (const record of table.others()) {
    const status = memberStatus(record);
    if (status) summary.nodes.push({...status, identity: record.identity});
    if (status?.state === NodeState.READY) summary.readyCount += 1;
    for (const field of record.fields.values()) {
      const {case: fieldCase} = field.value;
      if (fieldCase) COLLECTORS[fieldCase](field, record.identity, summary);
    }
  }
  return summary;
}

function emptyDemand(): DemandSummary {
  return {inFlight: 0, queued: 0};
}
