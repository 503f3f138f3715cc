import type {MemberTable} from '@arbutustide/membership';
import type {EntryLoad, RequestSuspects} from '@arbutustide/routing';

import {
  EntryDemandSchema,
  NodeState,
  NodeStatusSchema,
  STATUS_KEY,
  SuspicionSchema,
  UpstreamLoadSchema,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Parts of the status that stay the same while the process runs. */
export interface StaticNodeStatus {
  readonly name: string;
  readonly peerUrl: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Requests of this node at each upstream. */
export interface UpstreamLoadSource {
  all(): Iterable<{readonly id: string; readonly ownInFlight: number}>;
}

/** Requests of this node to each entry. */
export interface EntryDemandSource {
  loads(): Iterable<EntryLoad>;
}

/** Writes what this node does into its own record. */
export class OwnStatus {
  private currentState = NodeState.STARTING;
  private publishedKeys = new Set<string>();

  constructor(
    private readonly memberTable: MemberTable,
    private readonly staticStatus: StaticNodeStatus,
    private readonly loadSource: UpstreamLoadSource,
    private readonly demandSource: EntryDemandSource,
    private readonly poisonRequestDetector: RequestSuspects,
    private readonly getCatalogueRevision: () => number,
    private readonly getPlannerEpoch: () => number = () => 0,
  ) {
    this.publishStatus();
  }

  get state(): NodeState {
    return this.currentState;
  }

  /** Changes the state and writes it at once. */
  setState(state: NodeState): void {
    this.currentState = state;
    this.publishStatus();
  }

  /** Writes everything that has changed. */
  publish(): void {
    this.publishStatus();
    const keys = new Set<string>();
    for (const key of this.publishLoads()) keys.add(key);
    for (const key of this.publishDemands()) keys.add(key);
    for (const key of this.publishSuspicions()) keys.add(key);
    for (const key of this.publishedKeys) {
      if (!keys.has(key)) this.memberTable.own.remove(key);
    }
    this.publishedKeys = keys;
  }

  private publishStatus(): void {
    const value = create(NodeStatusSchema, {
      ...this.staticStatus,
      state: this.currentState,
      catalogueRevision: this.getCatalogueRevision(),
      plannerEpoch: this.getPlannerEpoch(),
    });
    this.memberTable.own.set(STATUS_KEY, {case: 'status', value});
  }

  private *publishLoads(): Generator<string> {
    for (const {id, ownInFlight} of this.loadSource.all()) {
      if (ownInFlight === 0) continue;
      const key = `load/${id}`;
      const value = create(UpstreamLoadSchema, {
        upstreamId: id,
        inFlight: ownInFlight,
      });
      this.memberTable.own.set(key, {case: 'load', value});
      yield key;
    }
  }

  private *publishDemands(): Generator<string> {
    for (const load of this.demandSource.loads()) {
      const {entryName, inFlight, queued} = load;
      if (inFlight + queued === 0) continue;
      const key = `demand/${entryName}`;
      const value = create(EntryDemandSchema, {
        entry: entryName,
        inFlight,
        queued,
      });
      this.memberTable.own.set(key, {case: 'demand', value});
      yield key;
    }
  }

  private *publishSuspicions(): Generator<string> {
    for (const suspicion of this.poisonRequestDetector.current()) {
      const {fingerprint, crashes, isRunning} = suspicion;
      const key = `suspicion/${fingerprint}`;
      const value = create(SuspicionSchema, {
        fingerprint,
        crashes,
        running: isRunning,
      });
      this.memberTable.own.set(key, {case: 'suspicion', value});
      yield key;
    }
  }
}
