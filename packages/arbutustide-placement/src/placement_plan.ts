import type {CatalogueEntry} from '@arbutustide/catalogue';

import type {ModelState, WorkersByEntry, WorkerState} from './plan_state.js';
import type {PlannableWorker, PlannedOrder, PlanInput} from './plan_types.js';

import {EntryKind, entryNameOf} from '@arbutustide/catalogue';
import {OrderKind} from '@arbutustide/upstream';

import {freeBytes, hasIntent, isHeld} from './ledger.js';
import {
  availableBytes,
  domainsOf,
  indexWorkers,
  modelState,
  replicaCount,
  reserveAdapters,
} from './plan_state.js';
import {PlanReason} from './plan_types.js';

/**
 * Plans the next orders, the most important first: models that cannot be
 * reached, then those below their minimum, then changed versions and adapters,
 * then replicas in a second failure domain, then demand. Replicas beyond need
 * stay until their room is wanted, which saves moves.
 */
export function planPlacement(input: PlanInput): PlannedOrder[] {
  return [...new PlacementPass(input).orders()];
}

class PlacementPass {
  private readonly workers: readonly WorkerState[];
  private readonly workersByEntry: WorkersByEntry;
  private readonly models: readonly ModelState[];
  private loadAllowance: number;

  constructor(private readonly input: PlanInput) {
    this.workers = input.workers.map(worker => ({
      worker,
      freeBytes: freeBytes(worker.record),
      reservedBytes: 0,
    }));
    this.workersByEntry = indexWorkers(this.workers);
    this.models = input.catalogue
      .entriesOf(EntryKind.MODEL)
      .map(entry => modelState(entry, this.workersByEntry, input));
    for (const model of this.models) reserveAdapters(model, input.catalogue);
    this.loadAllowance = input.loadAllowance;
  }

  *orders(): Generator<PlannedOrder> {
    yield* this.unloadRemoved();
    yield* this.reachEveryModel();
    yield* this.reachMinimum();
    yield* this.replaceVersions();
    yield* this.loadAdapters();
    yield* this.spreadReplicas();
    yield* this.followDemand();
  }

  /** Unloads what no entry of the catalogue names. */
  private *unloadRemoved(): Generator<PlannedOrder> {
    for (const {worker} of this.workers) {
      for (const {item} of worker.record.items) {
        if (this.input.catalogue.entry(entryNameOf(item))) continue;
        yield* this.unload(worker, item, PlanReason.REMOVED);
      }
    }
  }

  private *reachEveryModel(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (replicaCount(model) > 0 || model.otherVersions.length > 0) continue;
      yield* this.addReplica(model, PlanReason.UNREACHABLE, 1);
    }
  }

  private *reachMinimum(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.otherVersions.length > 0) continue;
      if (replicaCount(model) >= model.entry.minimumReplicas) continue;
      yield* this.addReplica(model, PlanReason.MINIMUM);
    }
  }

  /**
   * Loads the new version beside the old one, which stays until the new one
   * has its replicas. Where there is no room for both, a replica of the old
   * version gives way as long as another one remains.
   */
  private *replaceVersions(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.otherVersions.length === 0) continue;
      if (replicaCount(model) < model.entry.minimumReplicas) {
        yield* this.loadNewVersion(model);
      } else if (this.isComplete(model)) {
        yield* this.unloadOtherVersions(model.otherVersions, model);
      }
    }
  }

  private *loadNewVersion(model: ModelState): Generator<PlannedOrder> {
    const added = [...this.addReplica(model, PlanReason.VERSION)];
    yield* added;
    const remaining = model.otherVersions.length + model.holders.length;
    const isWaiting = added.length > 0 || model.arriving.length > 0;
    if (isWaiting || remaining < 2 || this.isRoomComing(model)) return;
    yield* this.unloadOtherVersions(model.otherVersions.slice(0, 1), model);
  }

  /** Whether the current version and its adapters have their replicas. */
  private isComplete(model: ModelState): boolean {
    const wanted = model.entry.minimumReplicas;
    if (model.holders.length < wanted) return false;
    const adapters = this.input.catalogue.adaptersOf(model.entry.name);
    return adapters.every(adapter => {
      const item = this.input.catalogue.itemName(adapter);
      const holders = model.holders.filter(({worker}) =>
        isHeld(worker.record, item),
      );
      return holders.length >= wanted;
    });
  }

  private *unloadOtherVersions(
    states: readonly WorkerState[],
    model: ModelState,
  ): Generator<PlannedOrder> {
    for (const {worker} of states) {
      for (const {item} of worker.record.items) {
        if (item === model.item) continue;
        if (entryNameOf(item) !== model.entry.name) continue;
        yield* this.unload(worker, item, PlanReason.VERSION);
      }
    }
  }

  /** Loads every adapter wherever its model is, and unloads it elsewhere. */
  private *loadAdapters(): Generator<PlannedOrder> {
    for (const model of this.models) {
      const adapters = this.input.catalogue.adaptersOf(model.entry.name);
      for (const adapter of adapters) {
        for (const state of model.holders) {
          yield* this.loadAdapter(adapter, state, model);
        }
        for (const {worker} of this.workersByEntry.get(adapter.name) ?? []) {
          yield* this.unloadOldAdapters(adapter, worker, model);
        }
      }
    }
  }

  private *loadAdapter(
    adapter: CatalogueEntry,
    state: WorkerState,
    model: ModelState,
  ): Generator<PlannedOrder> {
    const {record} = state.worker;
    const item = this.input.catalogue.itemName(adapter);
    if (isHeld(record, item)) return;
    if (hasIntent(record, OrderKind.LOAD, item)) return;
    if (state.freeBytes < adapter.memoryBytes) return;
    state.reservedBytes -= adapter.memoryBytes;
    yield* this.load(state, adapter, PlanReason.ADAPTER, model.item);
  }

  /**
   * Unloads an adapter's old items once its model is current everywhere, and
   * any item of it on a worker that no longer holds the model.
   */
  private *unloadOldAdapters(
    adapter: CatalogueEntry,
    worker: PlannableWorker,
    model: ModelState,
  ): Generator<PlannedOrder> {
    const {items} = worker.record;
    const current = this.input.catalogue.itemName(adapter);
    const hasModel = items.some(
      ({item}) => entryNameOf(item) === model.entry.name,
    );
    const isReplaced =
      model.otherVersions.length === 0 && this.isComplete(model);
    for (const {item} of items) {
      if (entryNameOf(item) !== adapter.name) continue;
      const isOld = item !== current && isReplaced;
      if (!isOld && hasModel) continue;
      yield* this.unload(worker, item, PlanReason.VERSION);
    }
  }

  /** Gives every model a replica in a second failure domain, if room is. */
  private *spreadReplicas(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.otherVersions.length > 0 || replicaCount(model) !== 1) continue;
      if (model.entry.maximumReplicas < 2) continue;
      const state = this.roomiest(model);
      if (!state || domainsOf(model).has(state.worker.record.failureDomain)) {
        continue;
      }
      yield* this.loadModel(state, model, PlanReason.SPREAD);
    }
  }

  /** Adds replicas where they serve more than their room serves now. */
  private *followDemand(): Generator<PlannedOrder> {
    const byUnserved = this.models
      .map(model => ({model, unserved: this.unserved(model)}))
      .filter(({unserved}) => unserved > this.input.moveCost)
      .sort((left, right) => right.unserved - left.unserved);
    for (const {model} of byUnserved) {
      if (model.otherVersions.length > 0) continue;
      if (replicaCount(model) >= model.entry.maximumReplicas) continue;
      const state = this.roomiest(model);
      if (state) {
        yield* this.loadModel(state, model, PlanReason.DEMAND);
      } else {
        yield* this.makeRoomForDemand(model);
      }
    }
  }

  private *makeRoomForDemand(model: ModelState): Generator<PlannedOrder> {
    if (this.isRoomComing(model)) return;
    const gain = Math.min(this.unserved(model), this.input.replicaConcurrency);
    for (const state of this.workersWithout(model)) {
      const victims = this.victims(state, model, victim =>
        this.isSpare(victim, state.worker),
      );
      if (!victims) continue;
      const loss = victims.reduce((sum, victim) => sum + this.loss(victim), 0);
      if (gain - loss <= this.input.moveCost * (victims.length + 1)) continue;
      yield* this.evict(state, victims);
      return;
    }
  }

  /** Requests at once beyond what the replicas serve. */
  private unserved(model: ModelState): number {
    const served = replicaCount(model) * this.input.replicaConcurrency;
    return Math.max(0, model.expectedDemand - served);
  }

  /** Requests at once no longer served with one replica less. */
  private loss(model: ModelState): number {
    const {replicaConcurrency} = this.input;
    const served = (model.holders.length - 1) * replicaConcurrency;
    const lost = Math.max(0, model.expectedDemand - served);
    return Math.min(lost, replicaConcurrency);
  }

  /** Whether a replica can go without breaking a promise. */
  private isSpare(model: ModelState, worker: PlannableWorker): boolean {
    const {upstreamId} = worker.record;
    if (!this.input.hasStayed(upstreamId, model.item)) return false;
    return model.holders.length > Math.max(1, model.entry.minimumReplicas);
  }

  /** Loads a replica somewhere, making room for it if need be. */
  private *addReplica(
    model: ModelState,
    reason: PlanReason,
    protectedReplicas?: number,
  ): Generator<PlannedOrder> {
    const state = this.roomiest(model);
    if (state) {
      yield* this.loadModel(state, model, reason);
      return;
    }
    if (this.isRoomComing(model)) return;
    for (const candidate of this.workersWithout(model)) {
      const victims = this.victims(candidate, model, victim => {
        const kept = protectedReplicas ?? victim.entry.minimumReplicas;
        return victim.holders.length > kept;
      });
      if (!victims) continue;
      yield* this.evict(candidate, victims);
      return;
    }
  }

  /**
   * Spare replicas on a worker whose memory together makes room for a model,
   * or undefined when there are not enough.
   */
  private victims(
    state: WorkerState,
    model: ModelState,
    isVictim: (victim: ModelState) => boolean,
  ): ModelState[] | undefined {
    const spare = this.models
      .filter(other => other !== model && other.holders.includes(state))
      .filter(isVictim)
      .sort((left, right) => this.loss(left) - this.loss(right));
    const chosen: ModelState[] = [];
    let room = state.freeBytes - state.reservedBytes;
    for (const victim of spare) {
      if (room >= model.footprintBytes) break;
      chosen.push(victim);
      room += victim.footprintBytes;
    }
    return room >= model.footprintBytes ? chosen : undefined;
  }

  private *evict(
    state: WorkerState,
    victims: readonly ModelState[],
  ): Generator<PlannedOrder> {
    for (const victim of victims) {
      const adapters = this.input.catalogue.adaptersOf(victim.entry.name);
      for (const adapter of adapters) {
        yield* this.unload(
          state.worker,
          this.input.catalogue.itemName(adapter),
          PlanReason.ROOM,
        );
      }
      yield* this.unload(state.worker, victim.item, PlanReason.ROOM);
      victim.holders.splice(victim.holders.indexOf(state), 1);
    }
  }

  /** Whether unloads under way make room for a model on some worker. */
  private isRoomComing(model: ModelState): boolean {
    return this.workersWithout(model).some(state => {
      const {intents} = state.worker.record;
      const leaving = intents.filter(({kind}) => kind === OrderKind.UNLOAD);
      const coming = leaving.reduce((sum, item) => sum + item.memoryBytes, 0);
      if (coming === 0) return false;
      return availableBytes(state) + coming >= model.footprintBytes;
    });
  }

  /** The worker with most room for a model, a new failure domain first. */
  private roomiest(model: ModelState): WorkerState | undefined {
    const domains = domainsOf(model);
    const rank = (state: WorkerState) =>
      domains.has(state.worker.record.failureDomain) ? 1 : 0;
    return this.workersWithout(model)
      .filter(state => availableBytes(state) >= model.footprintBytes)
      .sort(
        (left, right) =>
          rank(left) - rank(right) ||
          availableBytes(right) - availableBytes(left),
      )[0];
  }

  private workersWithout(model: ModelState): WorkerState[] {
    const taken = new Set([...model.holders, ...model.arriving]);
    return this.workers.filter(
      state => state.worker.takesLoads && !taken.has(state),
    );
  }

  private *loadModel(
    state: WorkerState,
    model: ModelState,
    reason: PlanReason,
  ): Generator<PlannedOrder> {
    state.reservedBytes += model.footprintBytes - model.entry.memoryBytes;
    model.arriving.push(state);
    yield* this.load(state, model.entry, reason);
  }

  private *load(
    state: WorkerState,
    entry: CatalogueEntry,
    reason: PlanReason,
    baseItem?: string,
  ): Generator<PlannedOrder> {
    if (this.loadAllowance < 1) return;
    this.loadAllowance -= 1;
    state.freeBytes -= entry.memoryBytes;
    yield {
      upstreamId: state.worker.record.upstreamId,
      kind: OrderKind.LOAD,
      item: this.input.catalogue.itemName(entry),
      memoryBytes: entry.memoryBytes,
      baseItem,
      reason,
    };
  }

  /** Unloads an item; its memory is free only once the engine confirms. */
  private *unload(
    worker: PlannableWorker,
    item: string,
    reason: PlanReason,
  ): Generator<PlannedOrder> {
    const {record} = worker;
    if (!isHeld(record, item)) return;
    const held = record.items.find(resident => resident.item === item);
    yield {
      upstreamId: record.upstreamId,
      kind: OrderKind.UNLOAD,
      item,
      memoryBytes: held?.memoryBytes ?? 0,
      baseItem: undefined,
      reason,
    };
  }
}
