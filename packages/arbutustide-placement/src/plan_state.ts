import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';

import type {PlanInput, PlannableWorker} from './plan_types.js';

import {entryNameOfItem} from '@arbutustide/catalogue';
import {OrderKind} from '@arbutustide/upstream';

import {hasIntent, isRetained} from './ledger.js';

/** A model with the workers that hold it or are loading it. */
export interface ModelState {
  readonly entry: CatalogueEntry;
  readonly item: string;
  /** Memory of one replica with all its adapters, in bytes. */
  readonly footprintBytes: number;
  /** Workers that hold the catalogue's current version. */
  readonly holders: WorkerState[];
  /** Workers that are loading the catalogue's current version. */
  readonly loading: WorkerState[];
  /** Workers that hold a version other than the catalogue's. */
  readonly staleHolders: WorkerState[];
  /** Expected concurrent requests. */
  readonly expectedDemand: number;
}

/** A worker and its memory after the orders planned so far in this pass. */
export interface WorkerState {
  readonly worker: PlannableWorker;
  /** Memory not committed to any item, in bytes. */
  freeBytes: number;
  /** Part of the free memory reserved for adapters of its models, in bytes. */
  reservedBytes: number;
}

/** Workers by entry name that hold an item of it or have an intent for one. */
export type WorkersByEntry = ReadonlyMap<string, ReadonlySet<WorkerState>>;

/** Indexes workers by the entries of their items and intents. */
export function indexWorkersByEntry(
  workers: readonly WorkerState[],
): WorkersByEntry {
  const index = new Map<string, Set<WorkerState>>();
  for (const state of workers) {
    const {items, intents} = state.worker.record;
    for (const {item} of [...items, ...intents]) {
      const name = entryNameOfItem(item);
      const known = index.get(name);
      if (known) known.add(state);
      else index.set(name, new Set([state]));
    }
  }
  return index;
}

/** Collects the workers that hold or are loading a model. */
export function buildModelState(
  entry: CatalogueEntry,
  workers: WorkersByEntry,
  input: PlanInput,
): ModelState {
  const item = input.catalogue.itemName(entry);
  const adapters = input.catalogue.adaptersOfModel(entry.name);
  const holders: WorkerState[] = [];
  const loading: WorkerState[] = [];
  const staleHolders: WorkerState[] = [];
  for (const state of workers.get(entry.name) ?? []) {
    const {record} = state.worker;
    if (isRetained(record, item)) holders.push(state);
    else if (hasIntent(record, OrderKind.LOAD, item)) loading.push(state);
    const isStale = record.items.some(
      held =>
        held.item !== item &&
        entryNameOfItem(held.item) === entry.name &&
        isRetained(record, held.item),
    );
    if (isStale) staleHolders.push(state);
  }
  return {
    entry,
    item,
    footprintBytes:
      entry.memoryBytes +
      adapters.reduce((sum, adapter) => sum + adapter.memoryBytes, 0),
    holders,
    loading,
    staleHolders,
    expectedDemand: input.expectedDemand(entry.name),
  };
}

/** Reserves memory for adapters not yet loaded beside their model. */
export function reserveAdapters(
  model: ModelState,
  catalogue: CatalogueRevision,
): void {
  const adapters = catalogue.adaptersOfModel(model.entry.name);
  for (const state of [...model.holders, ...model.loading]) {
    const {record} = state.worker;
    for (const adapter of adapters) {
      const item = catalogue.itemName(adapter);
      if (isRetained(record, item)) continue;
      if (hasIntent(record, OrderKind.LOAD, item)) continue;
      state.reservedBytes += adapter.memoryBytes;
    }
  }
}

/** Free memory of a worker that is not reserved for adapters, in bytes. */
export function unreservedBytes(state: WorkerState): number {
  return state.freeBytes - state.reservedBytes;
}

/** Number of replicas of the current version, including those loading. */
export function replicaCount(model: ModelState): number {
  return model.holders.length + model.loading.length;
}

/** Failure domains with a replica of the model, including those loading. */
export function domainsOf(model: ModelState): Set<string> {
  const states = [...model.holders, ...model.loading];
  return new Set(states.map(({worker}) => worker.record.failureDomain));
}
