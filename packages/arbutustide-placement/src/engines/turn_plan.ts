import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';
import type {ModelReplicas} from './model_replicas.js';

import {candidateMove} from './candidate_move.js';
import {additionGain, countReplicas} from './model_replicas.js';

/** The best place of a model, which may be an engine that is loading now. */
interface Place {
  readonly move: ModelMove;
  readonly isFree: boolean;
}

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
  const waiting = [...replicasByModel.values()]
    .filter(
      ({replicas, model: {queuedRequests, waitedMilliseconds}}) =>
        replicas === 0 &&
        queuedRequests > 0 &&
        waitedMilliseconds >= minimumWaitMilliseconds,
    )
    .sort(
      (left, right) =>
        right.model.waitedMilliseconds - left.model.waitedMilliseconds,
    );
  for (const modelReplicas of waiting) {
    const place = bestPlace(modelReplicas, engines, replicasByModel, settings);
    if (place?.isFree) return place.move;
  }
  return undefined;
}

function bestPlace(
  modelReplicas: ModelReplicas,
  engines: readonly PlannedEngine[],
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): Place | undefined {
  const {model} = modelReplicas;
  const gain = additionGain(modelReplicas, settings);
  let best: Place | undefined;
  for (const engine of engines) {
    const {canAcceptOrder: isFree, loadingModel} = engine;
    if (!isFree && loadingModel === undefined) continue;
    const move = candidateMove(model, gain, engine, replicasByModel, settings);
    if (!move || (best && move.gain <= best.move.gain)) continue;
    best = {move, isFree};
  }
  return best;
}
