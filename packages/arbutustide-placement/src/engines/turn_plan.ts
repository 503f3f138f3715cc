import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';

import {lossShare} from './engine_loss.js';
import {cheapestEviction} from './model_eviction.js';
import {additionGain, countReplicas} from './model_replicas.js';

/**
 * Chooses a place for the model that has waited longest, whatever the demand for
 * the models that it displaces. It takes the engine with the least loss, and waits
 * for one that loads a model now.
 *
 * @param engines each with the models that the turn must leave alone as pinned.
 * @return undefined if no model has waited for so long, or none finds a place.
 */
export function planTurn(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
  minimumWaitMilliseconds: number,
  settings: ModelPlanParameters,
): ModelMove | undefined {
  const replicasByModel = countReplicas(models, engines);
  const waiting = models
    .filter(
      ({name, queuedRequests, waitedMilliseconds}) =>
        queuedRequests > 0 &&
        waitedMilliseconds >= minimumWaitMilliseconds &&
        replicasByModel.get(name)?.replicas === 0,
    )
    .sort((left, right) => right.waitedMilliseconds - left.waitedMilliseconds);
  for (const model of waiting) {
    const modelReplicas = replicasByModel.get(model.name);
    if (!modelReplicas) continue;
    const gain = additionGain(modelReplicas, settings);
    let best: ModelMove | undefined;
    let isBestFree = false;
    for (const engine of engines) {
      const {canAcceptOrder, loadingModel} = engine;
      if (!canAcceptOrder && loadingModel === undefined) continue;
      const eviction = cheapestEviction(
        model,
        engine,
        replicasByModel,
        settings,
      );
      if (!eviction) continue;
      const cost = eviction.loss + gain * lossShare(model, engine);
      if (best && gain - cost <= best.gain) continue;
      isBestFree = canAcceptOrder;
      best = {
        engineId: engine.id,
        model: model.name,
        evicted: eviction.names,
        gain: gain - cost,
      };
    }
    if (isBestFree) return best;
  }
  return undefined;
}
