import type {
  LostUpstreams,
  SegmentQuarantine,
  SegmentSurvivals,
  UpstreamCrash,
  UpstreamHoldings,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {ClusterSummary} from './cluster_summary.js';
import type {MemberTable} from './member_table.js';
import type {PeerObservation, PeerRateLimit} from './peer_observation.js';
import type {ExpectedLoads} from './planned_loads.js';
import type {ProtocolLevel} from './protocol_level.js';

import {NodeState} from './gen/arbutustide/membership/v1/membership_pb.js';
import {emptyDemand, summarizePeers} from './cluster_summary.js';
import {NODE_STATUS_KEY} from './member_record.js';
import {PLANNED_LOADS_KEY, readPlannedLoads} from './planned_loads.js';

/** A summary older than this is recomputed when it is read. */
const MAXIMUM_SUMMARY_AGE_MILLISECONDS = 100;

const NO_LOADS: ExpectedLoads = new Map();

/** A node's published status, with the identity of its process. */
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
  /** A `ProtocolLevel`, or a higher number for newer builds. */
  readonly protocolLevel: number;
}

/** Requests for one catalogue entry, summed over nodes. */
export interface DemandSummary {
  inFlight: number;
  queued: number;
  /** Requests that are queued now; the index is the priority. */
  readonly queuedByPriority: number[];
}

/**
 * Read access to what all nodes published. Values that cover the peers are
 * summed over their records and cached, so they may be up to
 * MAXIMUM_SUMMARY_AGE_MILLISECONDS old.
 */
export class ClusterView {
  private summary: ClusterSummary | undefined;

  constructor(private readonly table: MemberTable) {}

  /** All known nodes, including this one. */
  nodes(): readonly ClusterNode[] {
    const own = this.ownNode();
    const others = this.currentSummary().peers;
    return own ? [own, ...others] : others;
  }

  /** Nodes that serve callers, including this one when it does. */
  readyNodes(): readonly ClusterNode[] {
    return this.nodes().filter(node => node.state === NodeState.READY);
  }

  /** Whether the builds of all known nodes have at least this level. */
  haveAllLevel(level: ProtocolLevel): boolean {
    return this.nodes().every(({protocolLevel}) => protocolLevel >= level);
  }

  /** The node that publishes the highest epoch of the planner's lease. */
  findPlanner(): ClusterNode | undefined {
    let planner: ClusterNode | undefined;
    for (const node of this.nodes()) {
      if (node.plannerEpoch > (planner?.plannerEpoch ?? 0)) planner = node;
    }
    return planner;
  }

  /** Highest epoch of the planner's lease that a peer publishes, or zero. */
  highestPeerPlannerEpoch(): number {
    const epochs = this.currentSummary().peers.map(
      ({plannerEpoch}) => plannerEpoch,
    );
    return Math.max(0, ...epochs);
  }

  /** Whether a known peer publishes that it holds no planner's lease. */
  hasSteppedDown(identity: string): boolean {
    return this.currentSummary().peers.some(
      node => node.identity === identity && node.plannerEpoch === 0,
    );
  }

  /** Number of nodes that serve callers, including this one when it does. */
  readyNodeCount(): number {
    const own = this.table.ownRecord.get(NODE_STATUS_KEY);
    const isReady =
      own?.case === 'status' && own.value.state === NodeState.READY;
    return this.currentSummary().readyPeerCount + (isReady ? 1 : 0);
  }

  /**
   * Requests that peers have in flight at an upstream.
   *
   * @param failureDomain counts only the peers in it; all peers if absent.
   */
  peerRequestsInFlight(upstreamId: string, failureDomain?: string): number {
    const {requestsInFlightByUpstream, requestsInFlightByDomain} =
      this.currentSummary();
    const counts =
      failureDomain === undefined
        ? requestsInFlightByUpstream
        : requestsInFlightByDomain.get(failureDomain);
    return counts?.get(upstreamId) ?? 0;
  }

  /** Rejections a second that upstreams survive, by brittle service. */
  brittleServices(): ReadonlyMap<string, number> {
    return this.currentSummary().rejectionsByBrittleService;
  }

  /** Number of requests that a peer has in flight at upstreams. */
  requestsInFlightAt(identity: string): number {
    return this.currentSummary().requestsInFlightByPeer.get(identity) ?? 0;
  }

  /** Upstreams of a service that a peer cannot reach; undefined for none. */
  lostUpstreamsOf(
    identity: string,
    service: string,
  ): LostUpstreams | undefined {
    return this.currentSummary()
      .lostUpstreamsByPeer.get(identity)
      ?.get(service);
  }

  /** Requests for a catalogue entry at the peers. */
  peerDemand(entry: string): DemandSummary {
    return this.currentSummary().demandByEntry.get(entry) ?? emptyDemand();
  }

  /** Requests at the peers, by catalogue entry. */
  peerDemands(): ReadonlyMap<string, DemandSummary> {
    return this.currentSummary().demandByEntry;
  }

  /** Reports of upstreams that the peers read. */
  peerObservations(): readonly PeerObservation[] {
    return this.currentSummary().observations;
  }

  /** Holdings by upstream that the planner publishes, if it is a peer. */
  plannerHoldings(): ReadonlyMap<string, UpstreamHoldings> {
    return this.currentSummary().holdingsByUpstream;
  }

  /**
   * When models that no upstream holds are expected to be held, according to the
   * planner, this node or a peer.
   */
  expectedLoads(): ExpectedLoads {
    const own = this.table.ownRecord.get(PLANNED_LOADS_KEY);
    const ownLoads = own?.case === 'plannedLoads' ? own.value : undefined;
    const peerLoads = this.currentSummary().plannedLoads;
    const isOwnNewer = (ownLoads?.epoch ?? 0) > (peerLoads?.epoch ?? 0);
    const loads = isOwnNewer ? ownLoads : peerLoads;
    return loads ? readPlannedLoads(loads) : NO_LOADS;
  }

  /** Start times of upstream processes that peers saw leave, by upstream. */
  departures(): ReadonlyMap<string, number> {
    return this.currentSummary().departuresByUpstream;
  }

  /** Crashes of upstreams that peers saw, one for each peer. */
  peerCrashes(): readonly UpstreamCrash[] {
    return this.currentSummary().crashes;
  }

  /** Decisions of peers on prompt segments that crash upstreams. */
  peerQuarantines(): readonly SegmentQuarantine[] {
    return this.currentSummary().quarantines;
  }

  /** Rate limits of upstreams that peers publish. */
  peerRateLimits(): readonly PeerRateLimit[] {
    return this.currentSummary().rateLimits;
  }

  /** Survivals of suspected prompt segments, by the peer's identity. */
  peerSurvivals(): ReadonlyMap<string, SegmentSurvivals> {
    return this.currentSummary().survivalsByPeer;
  }

  /** Upstream crashes that peers counted while the request was in flight. */
  peerCrashCount(fingerprint: string): number {
    return this.currentSummary().crashCountByFingerprint.get(fingerprint) ?? 0;
  }

  /** Whether a peer is running a suspected request other than this one. */
  peersRunOtherSuspects(fingerprint: string): boolean {
    const {runningSuspects} = this.currentSummary();
    return runningSuspects.size > (runningSuspects.has(fingerprint) ? 1 : 0);
  }

  /** Whether the record of a node's process has not expired. */
  isAlive(identity: string): boolean {
    if (identity === this.table.ownRecord.identity) return true;
    return this.table.findRecord(identity) !== undefined;
  }

  private ownNode(): ClusterNode | undefined {
    const value = this.table.ownRecord.get(NODE_STATUS_KEY);
    if (value?.case !== 'status') return undefined;
    return {...value.value, identity: this.table.ownRecord.identity};
  }

  private currentSummary(): ClusterSummary {
    const {summary} = this;
    if (summary?.peerChanges === this.table.peerChanges) return summary;
    const now = performance.now();
    const age = now - (summary?.computedAtMilliseconds ?? -Infinity);
    if (summary && age <= MAXIMUM_SUMMARY_AGE_MILLISECONDS) return summary;
    this.summary = summarizePeers(this.table, now);
    return this.summary;
  }
}
