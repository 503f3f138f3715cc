import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';
import type {ModelReplicas} from './model_replicas.js';

import {lossShare} from './engine_loss.js';
import {cheapestEviction} from './model_eviction.js';

/**
 * The load of a model on an engine, with the cheapest evictions.
 *
 * @param gain gain of one more replica of the model.
 * @return undefined if the model does not fit.
 */
export function candidateMove(
  model: PlannedModel,
  gain: number,
  engine: PlannedEngine,
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): ModelMove | undefined {
  const eviction = cheapestEviction(model, engine, replicasByModel, settings);
  if (!eviction) return undefined;
  return {
    engineId: engine.id,
    model: model.name,
    evicted: eviction.names,
    gain: gain - eviction.loss - gain * lossShare(model, engine),
  };
}
