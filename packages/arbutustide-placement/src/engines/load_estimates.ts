import type {
  CataloguedModel,
  EngineService,
  ListedEngine,
} from './engine_planner_environment.js';

/** Concurrent loads that use the full rate of the weight store. */
export function maximumConcurrentStoreLoads({
  models,
  storeLoadsPerSecond,
}: EngineService): number {
  const total = models.reduce(
    (sum, {storeLoadMilliseconds}) => sum + storeLoadMilliseconds,
    0,
  );
  const meanSeconds = total / Math.max(1, models.length) / 1_000;
  return Math.max(1, Math.floor(storeLoadsPerSecond * meanSeconds));
}

/** Whether an engine has a copy of a model's weights, in memory or on disk. */
export function hasLocalCopy(
  {name}: CataloguedModel,
  {modelsInMemory, modelsOnDisk}: ListedEngine,
): boolean {
  return modelsInMemory.has(name) || modelsOnDisk.has(name);
}

/** Time to load a model at an engine, from the nearest copy of its weights. */
export function expectedLoadMilliseconds(
  model: CataloguedModel,
  {modelsInMemory, modelsOnDisk}: ListedEngine,
): number {
  if (modelsInMemory.has(model.name)) return model.memoryLoadMilliseconds;
  if (modelsOnDisk.has(model.name)) return model.diskLoadMilliseconds;
  return model.storeLoadMilliseconds;
}
