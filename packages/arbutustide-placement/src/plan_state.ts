import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';

import type {PlanInput, PlannableWorker} from './plan_types.js';

import {entryNameOf} from '@arbutustide/catalogue';
import {OrderKind} from '@arbutustide/upstream';

import {hasIntent, isRetained} from './ledger.js';

/** A model with where it is and where it is coming. */
export interface ModelState {
  readonly entry: CatalogueEntry;
  readonly item: string;
  /** Memory of a replica with its adapters, in bytes. */
  readonly footprintBytes: number;
  /** Workers that hold the catalogue's version. */
  readonly holders: WorkerState[];
  /** Workers to which the catalogue's version is being loaded. */
  readonly loading: WorkerState[];
  /** Workers that hold another version. */
  readonly staleHolders: WorkerState[];
  readonly expectedDemand: number;
}

/** A worker with its memory after the orders planned so far. */
export interface WorkerState {
  readonly worker: PlannableWorker;
  freeBytes: number;
  /** Part of the free memory kept for adapters of models that are there. */
  reservedBytes: number;
}

/** Workers with an item, or an order for an item, of each entry. */
export type WorkersByEntry = ReadonlyMap<string, ReadonlySet<WorkerState>>;

/** Indexes workers by the entries whose items they hold or await. */
export function indexWorkersByEntry(
  workers: readonly WorkerState[],
): WorkersByEntry {
  const index = new Map<string, Set<WorkerState>>();
  for (const state of workers) {
    const {items, intents} = state.worker.record;
    for (const {item} of [...items, ...intents]) {
      const name = entryNameOf(item);
      const known = index.get(name);
      if (known) known.add(state);
      else index.set(name, new Set([state]));
    }
  }
  return index;
}

/** Finds where a model is and where it is coming. */
export function buildModelState(
  entry: CatalogueEntry,
  workers: WorkersByEntry,
  input: PlanInput,
): ModelState {
  const item = input.catalogue.itemName(entry);
  const adapters = input.catalogue.adaptersOf(entry.name);
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
        entryNameOf(held.item) === entry.name &&
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

/** Keeps room for adapters that are still to follow their model. */
export function reserveAdapters(
  model: ModelState,
  catalogue: CatalogueRevision,
): void {
  const adapters = catalogue.adaptersOf(model.entry.name);
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

/** Memory for new items beyond what is reserved, in bytes. */
export function unreservedBytes(state: WorkerState): number {
  return state.freeBytes - state.reservedBytes;
}

/** Replicas of the current version, those arriving included. */
export function replicaCount(model: ModelState): number {
  return model.holders.length + model.loading.length;
}

/** Failure domains that have or will have a replica. */
export function domainsOf(model: ModelState): Set<string> {
  const states = [...model.holders, ...model.loading];
  return new Set(states.map(({worker}) => worker.record.failureDomain));
}
