import type {
  Field,
  LostUpstreams,
  NodeActivity,
  PlannedLoads,
  SegmentQuarantine,
  SegmentSurvivals,
  UpstreamCrash,
  UpstreamHoldings,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {ClusterNode, DemandSummary} from './cluster_view.js';
import type {MemberTable} from './member_table.js';
import type {PublishedDemand, PublishedLoad} from './node_activity.js';
import type {PeerObservation, PeerRateLimit} from './peer_observation.js';

import {NodeState} from './gen/arbutustide/membership/v1/membership_pb.js';
import {findNodeStatus} from './member_record.js';
import {parseDemands, parseLoads} from './node_activity.js';
import {readPlannedLoads} from './planned_loads.js';

/** What the records of all peers add up to. */
export interface ClusterSummary {
  readonly computedAtMilliseconds: number;
  /** Changes of the peers' records that it covers. */
  readonly peerChanges: number;
  readonly peers: ClusterNode[];
  /** Number of peers that serve callers. */
  readyPeerCount: number;
  readonly requestsInFlightByUpstream: Map<string, number>;
  /** The same by the failure domain of the peers. */
  readonly requestsInFlightByDomain: Map<string, Map<string, number>>;
  readonly demandByEntry: Map<string, DemandSummary>;
  readonly observations: PeerObservation[];
  /** Upstream crashes counted by peers, by request fingerprint. */
  readonly crashCountByFingerprint: Map<string, number>;
  /** Fingerprints of suspected requests that some peer is running. */
  readonly runningSuspects: Set<string>;
  readonly crashes: UpstreamCrash[];
  readonly quarantines: SegmentQuarantine[];
  readonly rateLimits: PeerRateLimit[];
  /** Survivals of suspected prompt segments, by the peer's identity. */
  readonly survivalsByPeer: Map<string, SegmentSurvivals>;
  /** Services and upstreams that peers cannot reach, by peer and service. */
  readonly lostUpstreamsByPeer: Map<string, Map<string, LostUpstreams>>;
  readonly requestsInFlightByPeer: Map<string, number>;
  /** Least rejections a second that upstreams survive, by brittle service. */
  readonly rejectionsByBrittleService: Map<string, number>;
  /** Start times of leaving upstream processes, by upstream. */
  readonly departuresByUpstream: Map<string, number>;
  /** Holdings published by the planner with the highest epoch. */
  readonly holdingsByUpstream: Map<string, UpstreamHoldings>;
  holdingsEpoch: number;
  /** Published by the planner with the highest epoch. */
  plannedLoads: PlannedLoads | undefined;
}

type FieldCase = NonNullable<Field['value']['case']>;

/** The peer whose record a field belongs to. */
interface FieldWriter {
  readonly identity: string;
  /** Undefined until its status has come. */
  readonly failureDomain: string | undefined;
}

/** Adds one field of a peer's record to the summary. */
type FieldCollector = (
  field: Field,
  writer: FieldWriter,
  summary: ClusterSummary,
) => void;

interface Activity {
  readonly loads: readonly PublishedLoad[];
  readonly demands: readonly PublishedDemand[];
}

/** A message is read once, however often the records are summed over. */
const activityByMessage = new WeakMap<NodeActivity, Activity>();

const COLLECTORS: Readonly<Record<FieldCase, FieldCollector>> = {
  status: () => {},
  load: (field, peer, summary) => {
    if (field.value.case === 'load') addLoad(field.value.value, peer, summary);
  },
  demand: (field, _peer, summary) => {
    if (field.value.case === 'demand') addDemand(field.value.value, summary);
  },
  activity: (field, peer, summary) => {
    if (field.value.case !== 'activity') return;
    const {loads, demands} = activityOf(field.value.value);
    for (const load of loads) addLoad(load, peer, summary);
    for (const demand of demands) addDemand(demand, summary);
  },
  observation: (field, {identity: writer}, summary) => {
    if (field.value.case !== 'observation') return;
    const {sequence} = field;
    summary.observations.push({
      observation: field.value.value,
      sequence,
      writer,
    });
  },
  suspicion: (field, _writer, summary) => {
    if (field.value.case !== 'suspicion') return;
    const {fingerprint, crashes, running} = field.value.value;
    if (running) summary.runningSuspects.add(fingerprint);
    const known = summary.crashCountByFingerprint.get(fingerprint) ?? 0;
    summary.crashCountByFingerprint.set(fingerprint, known + crashes);
  },
  brittleService: (field, _writer, summary) => {
    if (field.value.case !== 'brittleService') return;
    const {service, rejectionsPerSecond} = field.value.value;
    const known = summary.rejectionsByBrittleService.get(service) ?? Infinity;
    summary.rejectionsByBrittleService.set(
      service,
      Math.min(known, rejectionsPerSecond),
    );
  },
  lostUpstreams: (field, {identity: writer}, summary) => {
    if (field.value.case !== 'lostUpstreams') return;
    const lost = summary.lostUpstreamsByPeer.get(writer) ?? new Map();
    lost.set(field.value.value.service, field.value.value);
    summary.lostUpstreamsByPeer.set(writer, lost);
  },
  crash: (field, _writer, summary) => {
    if (field.value.case === 'crash') summary.crashes.push(field.value.value);
  },
  quarantine: (field, _writer, summary) => {
    if (field.value.case === 'quarantine')
      summary.quarantines.push(field.value.value);
  },
  survivals: (field, {identity: writer}, summary) => {
    if (field.value.case === 'survivals')
      summary.survivalsByPeer.set(writer, field.value.value);
  },
  rateLimit: (field, {identity: writer}, summary) => {
    if (field.value.case !== 'rateLimit') return;
    const {sequence} = field;
    summary.rateLimits.push({limit: field.value.value, sequence, writer});
  },
  departure: (field, _writer, summary) => {
    if (field.value.case !== 'departure') return;
    const {upstreamId, upstreamStartedAt} = field.value.value;
    summary.departuresByUpstream.set(upstreamId, Number(upstreamStartedAt));
  },
  holdings: (field, _writer, summary) => {
    if (field.value.case !== 'holdings') return;
    const {epoch, upstreamId} = field.value.value;
    if (epoch < summary.holdingsEpoch) return;
    if (epoch > summary.holdingsEpoch) summary.holdingsByUpstream.clear();
    summary.holdingsEpoch = epoch;
    summary.holdingsByUpstream.set(upstreamId, field.value.value);
  },
  plannedLoads: (field, _writer, summary) => {
    if (field.value.case !== 'plannedLoads') return;
    const loads = field.value.value;
    // Read on arrival, as its times count from then.
    readPlannedLoads(loads);
    if (loads.epoch >= (summary.plannedLoads?.epoch ?? 0))
      summary.plannedLoads = loads;
  },
};

/** Sums over the records of all peers. */
export function summarizePeers(
  table: MemberTable,
  now: number,
): ClusterSummary {
  const summary: ClusterSummary = {
    computedAtMilliseconds: now,
    peerChanges: table.peerChanges,
    peers: [],
    readyPeerCount: 0,
    requestsInFlightByUpstream: new Map(),
    requestsInFlightByDomain: new Map(),
    demandByEntry: new Map(),
    observations: [],
    crashCountByFingerprint: new Map(),
    runningSuspects: new Set(),
    crashes: [],
    quarantines: [],
    rateLimits: [],
    survivalsByPeer: new Map(),
    lostUpstreamsByPeer: new Map(),
    requestsInFlightByPeer: new Map(),
    rejectionsByBrittleService: new Map(),
    departuresByUpstream: new Map(),
    holdingsByUpstream: new Map(),
    holdingsEpoch: 0,
    plannedLoads: undefined,
  };
  for (const record of table.peerRecords()) {
    const status = findNodeStatus(record);
    if (status) summary.peers.push({...status, identity: record.identity});
    if (status?.state === NodeState.READY) summary.readyPeerCount += 1;
    const {identity} = record;
    const writer = {identity, failureDomain: status?.failureDomain};
    for (const field of record.fields.values()) {
      const {case: fieldCase} = field.value;
      if (fieldCase) COLLECTORS[fieldCase](field, writer, summary);
    }
  }
  return summary;
}

function addLoad(
  {upstreamId, inFlight}: PublishedLoad,
  {identity, failureDomain}: FieldWriter,
  summary: ClusterSummary,
): void {
  const {requestsInFlightByPeer, requestsInFlightByDomain} = summary;
  add(requestsInFlightByPeer, identity, inFlight);
  add(summary.requestsInFlightByUpstream, upstreamId, inFlight);
  if (failureDomain === undefined) return;
  const counts = requestsInFlightByDomain.get(failureDomain) ?? new Map();
  add(counts, upstreamId, inFlight);
  requestsInFlightByDomain.set(failureDomain, counts);
}

function add(counts: Map<string, number>, key: string, count: number): void {
  counts.set(key, (counts.get(key) ?? 0) + count);
}

function addDemand(
  {entry, inFlight, queued, queuedByPriority}: PublishedDemand,
  {demandByEntry}: ClusterSummary,
): void {
  const sum = demandByEntry.get(entry) ?? emptyDemand();
  sum.inFlight += inFlight;
  sum.queued += queued;
  for (const [priority, count] of queuedByPriority.entries()) {
    sum.queuedByPriority[priority] =
      (sum.queuedByPriority[priority] ?? 0) + count;
  }
  demandByEntry.set(entry, sum);
}

function activityOf(message: NodeActivity): Activity {
  const known = activityByMessage.get(message);
  if (known) return known;
  const activity = {
    loads: [...parseLoads(message.loads)],
    demands: [...parseDemands(message.demands)],
  };
  activityByMessage.set(message, activity);
  return activity;
}

/** The demand for an entry that nobody asks for. */
export function emptyDemand(): DemandSummary {
  return {inFlight: 0, queued: 0, queuedByPriority: []};
}
