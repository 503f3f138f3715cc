import type {
  CataloguedModel,
  EngineService,
} from './engine_planner_environment.js';
import type {EngineEntry} from './engine_registry.js';

import {expectedReplacement} from './pending_eviction.js';
import {orderedModel} from './pending_model_order.js';
import {expectedLoadMilliseconds} from './load_estimates.js';
import {STORE_RATE_SHARE} from './planner_constants.js';

/** A model that an engine loads, or will load in the place of another. */
export interface DecidedLoad {
  readonly engineId: string;
  readonly model: string;
  readonly expectedMilliseconds: number;
  /** Undefined if the load begins when the planner sees it first. */
  readonly decidedAtMilliseconds: number | undefined;
}

/** Loads that are under way or follow an eviction, one for each engine. */
export function* decidedLoads(
  {models}: EngineService,
  entries: Iterable<EngineEntry>,
  evictionNoticeMilliseconds: number,
): Generator<DecidedLoad> {
  for (const entry of entries) {
    const {holdings, listed, pendingEviction, pendingModelOrder} = entry;
    const loading = holdings.loadingModel ?? orderedModel(pendingModelOrder);
    const name = loading ?? expectedReplacement(pendingEviction);
    if (name === undefined) continue;
    const model = models.find(catalogued => catalogued.name === name);
    if (!model) continue;
    const isEvicting = loading === undefined;
    yield {
      engineId: listed.id,
      model: model.name,
      expectedMilliseconds:
        expectedLoadMilliseconds(model, listed) +
        (isEvicting ? evictionNoticeMilliseconds : 0),
      decidedAtMilliseconds: isEvicting
        ? pendingEviction?.startedAtMilliseconds
        : undefined,
    };
  }
}

/** Engines that waiting models are loaded on, and the rate of their loads. */
export interface LoadCapacity {
  /** When each engine can begin a load, in milliseconds from now. */
  readonly freeInMilliseconds: readonly number[];
  readonly storeLoadsPerSecond: number;
  /** Time from the decision until a model is loaded in the place of another. */
  readonly loadMilliseconds: (model: CataloguedModel) => number;
  /** Whether its weights come from the store, as no engine has a copy. */
  readonly usesStore: (model: CataloguedModel) => boolean;
}

/**
 * Time until each of the waiting models is held, if they are loaded in this
 * order, each in the place of another, as fast as engines and store allow.
 */
export function* expectedWaits(
  models: Iterable<CataloguedModel>,
  capacity: LoadCapacity,
): Generator<readonly [CataloguedModel, number]> {
  const {storeLoadsPerSecond, loadMilliseconds, usesStore} = capacity;
  const freeIn = [...capacity.freeInMilliseconds];
  const intervalMilliseconds = 1_000 / (storeLoadsPerSecond * STORE_RATE_SHARE);
  let storeFreeIn = 0;
  for (const model of models) {
    const engineFreeIn = Math.min(...freeIn);
    const isStoreLoad = usesStore(model);
    const begin = Math.max(engineFreeIn, isStoreLoad ? storeFreeIn : 0);
    const ready = begin + loadMilliseconds(model);
    freeIn[freeIn.indexOf(engineFreeIn)] = ready;
    if (isStoreLoad) storeFreeIn = begin + intervalMilliseconds;
    yield [model, ready];
  }
}
