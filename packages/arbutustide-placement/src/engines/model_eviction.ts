import type {
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';
import type {ModelReplicas} from './model_replicas.js';

import {removalLoss} from './model_replicas.js';

/** Models to evict, and the loss from it. */
export interface Eviction {
  readonly names: readonly string[];
  readonly loss: number;
}

/**
 * Chooses models to evict, those with the least loss first, until the model
 * fits.
 *
 * @return undefined if it does not fit even after the eviction of all models
 *     that are not pinned.
 */
export function cheapestEviction(
  {megabytes}: PlannedModel,
  engine: PlannedEngine,
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): Eviction | undefined {
  const {freeMegabytes, models, pinnedModels} = engine;
  const removable = models
    .filter(name => !pinnedModels.has(name))
    .map(name => {
      const modelReplicas = replicasByModel.get(name);
      return {
        name,
        megabytes: modelReplicas?.model.megabytes ?? 0,
        loss: modelReplicas ? removalLoss(modelReplicas, engine, settings) : 0,
      };
    })
    .sort((left, right) => left.loss - right.loss);
  const names: string[] = [];
  let availableMegabytes = freeMegabytes;
  let loss = 0;
  for (const candidate of removable) {
    if (availableMegabytes >= megabytes) break;
    names.push(candidate.name);
    availableMegabytes += candidate.megabytes;
    loss += candidate.loss;
  }
  return availableMegabytes >= megabytes ? {names, loss} : undefined;
}
