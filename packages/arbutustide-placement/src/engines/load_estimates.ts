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

/** Models of whose weights an engine has copies. */
type LocalCopies = Pick<ListedEngine, 'modelsInMemory' | 'modelsOnDisk'>;

/** Whether an engine has a copy of a model's weights, in memory or on disk. */
export function hasLocalCopy(
  model: string,
  {modelsInMemory, modelsOnDisk}: LocalCopies,
): boolean {
  return modelsInMemory.has(model) || modelsOnDisk.has(model);
}

/** Time to load a model at an engine, from the nearest copy of its weights. */
export function expectedLoadMilliseconds(
  model: CataloguedModel,
  {modelsInMemory, modelsOnDisk}: LocalCopies,
): number {
  if (modelsInMemory.has(model.name)) return model.memoryLoadMilliseconds;
  if (modelsOnDisk.has(model.name)) return model.diskLoadMilliseconds;
  return model.storeLoadMilliseconds;
}
