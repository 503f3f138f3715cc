import type {CatalogueEntry} from '@arbutustide/catalogue';

import type {ModelState, WorkersByEntry, WorkerState} from './plan_state.js';
import type {PlannableWorker, PlannedOrder, PlanInput} from './plan_types.js';

import {EntryKind, entryNameOfItem} from '@arbutustide/catalogue';
import {OrderKind} from '@arbutustide/upstream';

import {freeBytes, hasIntent, isRetained} from './ledger.js';
import {
  buildModelState,
  domainsOf,
  indexWorkersByEntry,
  replicaCount,
  reserveAdapters,
  unreservedBytes,
} from './plan_state.js';
import {PlanReason} from './plan_types.js';

/**
 * Plans the next orders in descending priority: models without a replica,
 * models below their minimum, changed versions and adapters, replicas in a
 * second failure domain, then demand. Surplus replicas stay until their memory
 * is needed, which saves moves.
 */
export function planPlacement(input: PlanInput): PlannedOrder[] {
  return [...new PlacementPass(input).planOrders()];
}

class PlacementPass {
  private readonly workers: readonly WorkerState[];
  private readonly workersByEntry: WorkersByEntry;
  private readonly models: readonly ModelState[];
  private remainingLoads: number;

  constructor(private readonly input: PlanInput) {
    this.workers = input.workers.map(worker => ({
      worker,
      freeBytes: freeBytes(worker.record),
      reservedBytes: 0,
    }));
    this.workersByEntry = indexWorkersByEntry(this.workers);
    this.models = input.catalogue
      .entriesOfKind(EntryKind.MODEL)
      .map(entry => buildModelState(entry, this.workersByEntry, input));
    for (const model of this.models) reserveAdapters(model, input.catalogue);
    this.remainingLoads = input.maximumNewLoads;
  }

  *planOrders(): Generator<PlannedOrder> {
    yield* this.unloadRemoved();
    yield* this.loadMissingModels();
    yield* this.addMinimumReplicas();
    yield* this.replaceStaleVersions();
    yield* this.loadAdapters();
    yield* this.spreadReplicas();
    yield* this.addReplicasForDemand();
  }

  /** Unloads items whose entry is no longer in the catalogue. */
  private *unloadRemoved(): Generator<PlannedOrder> {
    for (const {worker} of this.workers) {
      for (const {item} of worker.record.items) {
        if (this.input.catalogue.findEntry(entryNameOfItem(item))) continue;
        yield* this.unload(worker, item, PlanReason.REMOVED);
      }
    }
  }

  private *loadMissingModels(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (replicaCount(model) > 0 || model.staleHolders.length > 0) continue;
      yield* this.addReplica(model, PlanReason.UNREACHABLE, 1);
    }
  }

  private *addMinimumReplicas(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.staleHolders.length > 0) continue;
      if (replicaCount(model) >= model.entry.minimumReplicas) continue;
      yield* this.addReplica(model, PlanReason.MINIMUM);
    }
  }

  /**
   * Loads the current version beside the stale one, which stays until the
   * current one has its minimum replicas. Where memory cannot hold both, a
   * stale replica is unloaded as long as another replica remains.
   */
  private *replaceStaleVersions(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.staleHolders.length === 0) continue;
      if (replicaCount(model) < model.entry.minimumReplicas) {
        yield* this.loadNewVersion(model);
      } else if (this.isComplete(model)) {
        yield* this.unloadStaleVersions(model.staleHolders, model);
      }
    }
  }

  private *loadNewVersion(model: ModelState): Generator<PlannedOrder> {
    const newLoads = [...this.addReplica(model, PlanReason.VERSION)];
    yield* newLoads;
    const remaining = model.staleHolders.length + model.holders.length;
    const isLoading = newLoads.length > 0 || model.loading.length > 0;
    if (isLoading || remaining < 2 || this.isMemoryBeingFreed(model)) return;
    yield* this.unloadStaleVersions(model.staleHolders.slice(0, 1), model);
  }

  /** Whether the current version and its adapters have enough replicas. */
  private isComplete(model: ModelState): boolean {
    const requiredReplicas = model.entry.minimumReplicas;
    if (model.holders.length < requiredReplicas) return false;
    const adapters = this.input.catalogue.adaptersOfModel(model.entry.name);
    return adapters.every(adapter => {
      const item = this.input.catalogue.itemName(adapter);
      const holders = model.holders.filter(({worker}) =>
        isRetained(worker.record, item),
      );
      return holders.length >= requiredReplicas;
    });
  }

  private *unloadStaleVersions(
    states: readonly WorkerState[],
    model: ModelState,
  ): Generator<PlannedOrder> {
    for (const {worker} of states) {
      for (const {item} of worker.record.items) {
        if (item === model.item) continue;
        if (entryNameOfItem(item) !== model.entry.name) continue;
        yield* this.unload(worker, item, PlanReason.VERSION);
      }
    }
  }

  /** Loads each adapter on all holders of its model; unloads it elsewhere. */
  private *loadAdapters(): Generator<PlannedOrder> {
    for (const model of this.models) {
      const adapters = this.input.catalogue.adaptersOfModel(model.entry.name);
      for (const adapter of adapters) {
        for (const state of model.holders) {
          yield* this.loadAdapter(adapter, state, model);
        }
        for (const {worker} of this.workersByEntry.get(adapter.name) ?? []) {
          yield* this.unloadStaleAdapters(adapter, worker, model);
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
    if (isRetained(record, item)) return;
    if (hasIntent(record, OrderKind.LOAD, item)) return;
    if (state.freeBytes < adapter.memoryBytes) return;
    state.reservedBytes -= adapter.memoryBytes;
    yield* this.load(state, adapter, PlanReason.ADAPTER, model.item);
  }

  /**
   * Unloads an adapter's stale items once its model is current everywhere, and
   * any of its items on a worker that no longer holds the model.
   */
  private *unloadStaleAdapters(
    adapter: CatalogueEntry,
    worker: PlannableWorker,
    model: ModelState,
  ): Generator<PlannedOrder> {
    const {items} = worker.record;
    const currentItem = this.input.catalogue.itemName(adapter);
    const hasModel = items.some(
      ({item}) => entryNameOfItem(item) === model.entry.name,
    );
    const isReplaced =
      model.staleHolders.length === 0 && this.isComplete(model);
    for (const {item} of items) {
      if (entryNameOfItem(item) !== adapter.name) continue;
      const isStale = item !== currentItem && isReplaced;
      if (!isStale && hasModel) continue;
      yield* this.unload(worker, item, PlanReason.VERSION);
    }
  }

  /** Adds a replica in a second failure domain where memory allows. */
  private *spreadReplicas(): Generator<PlannedOrder> {
    for (const model of this.models) {
      if (model.staleHolders.length > 0 || replicaCount(model) !== 1) continue;
      if (model.entry.maximumReplicas < 2) continue;
      const state = this.findBestWorker(model);
      if (!state || domainsOf(model).has(state.worker.record.failureDomain)) {
        continue;
      }
      yield* this.loadModel(state, model, PlanReason.SPREAD);
    }
  }

  /** Adds replicas for demand that the present replicas cannot serve. */
  private *addReplicasForDemand(): Generator<PlannedOrder> {
    const byShortfall = this.models
      .map(model => ({model, shortfall: this.shortfall(model)}))
      .filter(({shortfall}) => shortfall > this.input.moveCost)
      .sort((left, right) => right.shortfall - left.shortfall);
    for (const {model} of byShortfall) {
      if (model.staleHolders.length > 0) continue;
      if (replicaCount(model) >= model.entry.maximumReplicas) continue;
      const state = this.findBestWorker(model);
      if (state) {
        yield* this.loadModel(state, model, PlanReason.DEMAND);
      } else {
        yield* this.evictForDemand(model);
      }
    }
  }

  private *evictForDemand(model: ModelState): Generator<PlannedOrder> {
    if (this.isMemoryBeingFreed(model)) return;
    const gain = Math.min(this.shortfall(model), this.input.replicaConcurrency);
    for (const state of this.candidateWorkers(model)) {
      const victims = this.chooseVictims(state, model, victim =>
        this.isEvictable(victim, state.worker),
      );
      if (!victims) continue;
      const loss = victims.reduce((sum, other) => sum + this.lossOf(other), 0);
      if (gain - loss <= this.input.moveCost * (victims.length + 1)) continue;
      yield* this.evict(state, victims);
      return;
    }
  }

  /** Expected concurrent requests beyond what the replicas can serve. */
  private shortfall(model: ModelState): number {
    const served = replicaCount(model) * this.input.replicaConcurrency;
    return Math.max(0, model.expectedDemand - served);
  }

  /** Concurrent requests no longer served after evicting one replica. */
  private lossOf(model: ModelState): number {
    const {replicaConcurrency} = this.input;
    const served = (model.holders.length - 1) * replicaConcurrency;
    const lost = Math.max(0, model.expectedDemand - served);
    return Math.min(lost, replicaConcurrency);
  }

  /** Whether a replica met its minimum stay and exceeds the minimum count. */
  private isEvictable(model: ModelState, worker: PlannableWorker): boolean {
    const {upstreamId} = worker.record;
    if (!this.input.hasMetMinimumStay(upstreamId, model.item)) return false;
    return model.holders.length > Math.max(1, model.entry.minimumReplicas);
  }

  /** Loads one more replica, or evicts other models to free memory for it. */
  private *addReplica(
    model: ModelState,
    reason: PlanReason,
    keptReplicas?: number,
  ): Generator<PlannedOrder> {
    const state = this.findBestWorker(model);
    if (state) {
      yield* this.loadModel(state, model, reason);
      return;
    }
    if (this.isMemoryBeingFreed(model)) return;
    for (const candidate of this.candidateWorkers(model)) {
      const victims = this.chooseVictims(candidate, model, victim => {
        const kept = keptReplicas ?? victim.entry.minimumReplicas;
        return victim.holders.length > kept;
      });
      if (!victims) continue;
      yield* this.evict(candidate, victims);
      return;
    }
  }

  /**
   * Returns the replicas to evict from a worker so that a model fits, those
   * with the least loss first, or undefined if they do not free enough memory.
   */
  private chooseVictims(
    state: WorkerState,
    model: ModelState,
    isVictim: (victim: ModelState) => boolean,
  ): ModelState[] | undefined {
    const evictable = this.models
      .filter(other => other !== model && other.holders.includes(state))
      .filter(isVictim)
      .sort((left, right) => this.lossOf(left) - this.lossOf(right));
    const chosen: ModelState[] = [];
    let bytesAfterEviction = state.freeBytes - state.reservedBytes;
    for (const victim of evictable) {
      if (bytesAfterEviction >= model.footprintBytes) break;
      chosen.push(victim);
      bytesAfterEviction += victim.footprintBytes;
    }
    return bytesAfterEviction >= model.footprintBytes ? chosen : undefined;
  }

  private *evict(
    state: WorkerState,
    victims: readonly ModelState[],
  ): Generator<PlannedOrder> {
    for (const victim of victims) {
      const adapters = this.input.catalogue.adaptersOfModel(victim.entry.name);
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

  /** Whether unfinished unloads will free enough memory for a model. */
  private isMemoryBeingFreed(model: ModelState): boolean {
    return this.candidateWorkers(model).some(state => {
      const {intents} = state.worker.record;
      const unloads = intents.filter(({kind}) => kind === OrderKind.UNLOAD);
      const freed = unloads.reduce((sum, item) => sum + item.memoryBytes, 0);
      if (freed === 0) return false;
      return unreservedBytes(state) + freed >= model.footprintBytes;
    });
  }

  /** Prefers a new failure domain, then the worker with the most memory. */
  private findBestWorker(model: ModelState): WorkerState | undefined {
    const domains = domainsOf(model);
    const domainRank = (state: WorkerState) =>
      domains.has(state.worker.record.failureDomain) ? 1 : 0;
    return this.candidateWorkers(model)
      .filter(state => unreservedBytes(state) >= model.footprintBytes)
      .sort(
        (left, right) =>
          domainRank(left) - domainRank(right) ||
          unreservedBytes(right) - unreservedBytes(left),
      )[0];
  }

  private candidateWorkers(model: ModelState): WorkerState[] {
    const excluded = new Set([...model.holders, ...model.loading]);
    return this.workers.filter(
      state => state.worker.takesLoads && !excluded.has(state),
    );
  }

  private *loadModel(
    state: WorkerState,
    model: ModelState,
    reason: PlanReason,
  ): Generator<PlannedOrder> {
    state.reservedBytes += model.footprintBytes - model.entry.memoryBytes;
    model.loading.push(state);
    yield* this.load(state, model.entry, reason);
  }

  private *load(
    state: WorkerState,
    entry: CatalogueEntry,
    reason: PlanReason,
    baseItem?: string,
  ): Generator<PlannedOrder> {
    if (this.remainingLoads < 1) return;
    this.remainingLoads -= 1;
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

  /** Unloads an item; its memory counts as used until the engine confirms. */
  private *unload(
    worker: PlannableWorker,
    item: string,
    reason: PlanReason,
  ): Generator<PlannedOrder> {
    const {record} = worker;
    if (!isRetained(record, item)) return;
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
