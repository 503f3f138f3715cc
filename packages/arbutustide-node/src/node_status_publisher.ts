import type {
  FieldValue,
  MemberTable,
  PublishedDemand,
  PublishedLoad,
} from '@arbutustide/membership';
import type {EntryLoad, PoisonRequestDetector} from '@arbutustide/routing';

import {
  EntryDemandSchema,
  formatDemands,
  formatLoads,
  NodeActivitySchema,
  NodeState,
  NodeStatusSchema,
  NODE_STATUS_KEY,
  ProtocolLevel,
  SuspicionSchema,
  UpstreamDepartureSchema,
  UpstreamLoadSchema,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Key of the field with all requests of the node. */
const ACTIVITY_KEY = 'activity';

/** Fields of the node status that do not change while the process runs. */
export interface StaticNodeStatus {
  readonly name: string;
  readonly peerUrl: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Source of this node's number of requests in flight at each upstream. */
export interface UpstreamLoadSource {
  all(): Iterable<{
    readonly id: string;
    readonly ownInFlight: number;
    /** The part of it that takes slots at the upstream; all of it if absent. */
    readonly publishedInFlight?: number;
  }>;
  /** Departures that this node saw in answers a short time ago. */
  observedDepartures?(): Iterable<{
    readonly id: string;
    readonly startedAt: number;
  }>;
}

/** Source of this node's requests to each catalogue entry. */
export interface EntryDemandSource {
  loads(): Iterable<EntryLoad>;
}

/**
 * Publishes this node's state, upstream loads, demand and suspected poison
 * requests in its own member record, from which gossip spreads them.
 */
export class NodeStatusPublisher {
  private currentState = NodeState.STARTING;
  private publishedKeys = new Set<string>();

  constructor(
    private readonly memberTable: MemberTable,
    private readonly staticStatus: StaticNodeStatus,
    private readonly loadSource: UpstreamLoadSource,
    private readonly demandSource: EntryDemandSource,
    private readonly poisonRequestDetector: PoisonRequestDetector,
    private readonly getCatalogueRevision: () => number,
    private readonly getPlannerEpoch: () => number = () => 0,
    private readonly listOtherFields: () => Iterable<
      readonly [string, FieldValue]
    > = () => [],
    /** Whether all nodes read the requests of a node from one field. */
    private readonly areActivitiesUnderstood: () => boolean = () => true,
  ) {
    this.publishStatus();
  }

  get state(): NodeState {
    return this.currentState;
  }

  /** Changes the node's state and publishes it immediately. */
  setState(state: NodeState): void {
    this.currentState = state;
    this.publishStatus();
  }

  /**
   * Updates all fields of the record and removes those of upstreams, entries
   * and requests that no longer have a value.
   */
  publish(): void {
    this.publishStatus();
    const keys = new Set<string>();
    const publishRequests = this.areActivitiesUnderstood()
      ? this.publishActivity()
      : this.publishByKey();
    for (const key of publishRequests) keys.add(key);
    for (const key of this.publishSuspicions()) keys.add(key);
    for (const key of this.publishDepartures()) keys.add(key);
    for (const [key, value] of this.listOtherFields()) {
      this.memberTable.ownRecord.set(key, value);
      keys.add(key);
    }
    for (const key of this.publishedKeys) {
      if (!keys.has(key)) this.memberTable.ownRecord.remove(key);
    }
    this.publishedKeys = keys;
  }

  private publishStatus(): void {
    const value = create(NodeStatusSchema, {
      ...this.staticStatus,
      state: this.currentState,
      catalogueRevision: this.getCatalogueRevision(),
      plannerEpoch: this.getPlannerEpoch(),
      protocolLevel: ProtocolLevel.PLANNED_LOADS,
    });
    this.memberTable.ownRecord.set(NODE_STATUS_KEY, {case: 'status', value});
  }

  private *publishActivity(): Generator<string> {
    const loads = formatLoads(this.listLoads());
    const demands = formatDemands(this.listDemands());
    if (loads === '' && demands === '') return;
    const value = create(NodeActivitySchema, {loads, demands});
    this.memberTable.ownRecord.set(ACTIVITY_KEY, {case: 'activity', value});
    yield ACTIVITY_KEY;
  }

  /** Publishes a field for each load and demand, as older builds need them. */
  private *publishByKey(): Generator<string> {
    const {ownRecord} = this.memberTable;
    for (const load of this.listLoads()) {
      const key = `load/${load.upstreamId}`;
      const value = create(UpstreamLoadSchema, load);
      ownRecord.set(key, {case: 'load', value});
      yield key;
    }
    for (const demand of this.listDemands()) {
      const key = `demand/${demand.entry}`;
      const queuedByPriority = [...demand.queuedByPriority];
      const value = create(EntryDemandSchema, {...demand, queuedByPriority});
      ownRecord.set(key, {case: 'demand', value});
      yield key;
    }
  }

  private *listLoads(): Generator<PublishedLoad> {
    for (const upstream of this.loadSource.all()) {
      const {id, ownInFlight, publishedInFlight = ownInFlight} = upstream;
      if (publishedInFlight === 0) continue;
      yield {upstreamId: id, inFlight: publishedInFlight};
    }
  }

  private *listDemands(): Generator<PublishedDemand> {
    for (const load of this.demandSource.loads()) {
      const {entryName: entry, inFlight, queued} = load;
      if (inFlight + queued === 0) continue;
      // Absent while none is queued, so that the field changes less often.
      const {queuedByPriority: counts = []} = load;
      const queuedByPriority = counts.some(count => count > 0) ? counts : [];
      yield {entry, inFlight, queued, queuedByPriority};
    }
  }

  private *publishDepartures(): Generator<string> {
    const departures = this.loadSource.observedDepartures?.() ?? [];
    for (const {id, startedAt} of departures) {
      const key = `departure/${id}`;
      const value = create(UpstreamDepartureSchema, {
        upstreamId: id,
        upstreamStartedAt: BigInt(startedAt),
      });
      this.memberTable.ownRecord.set(key, {case: 'departure', value});
      yield key;
    }
  }

  private *publishSuspicions(): Generator<string> {
    for (const suspicion of this.poisonRequestDetector.activeSuspicions()) {
      const {fingerprint, crashes, isRunning} = suspicion;
      const key = `suspicion/${fingerprint}`;
      const value = create(SuspicionSchema, {
        fingerprint,
        crashes,
        running: isRunning,
      });
      this.memberTable.ownRecord.set(key, {case: 'suspicion', value});
      yield key;
    }
  }
}
