import type {PlannedEngine, PlannedModel} from './model_plan.js';

import {expectedLoadMilliseconds} from './load_estimates.js';

/**
 * Time within which a replica must pay back its load time, because demand
 * shifts to other models by then.
 */
const PAYBACK_MILLISECONDS = 20_000;

/** Upper bound that keeps a model loadable however long its load takes. */
const MAXIMUM_LOAD_TIME_LOSS_SHARE = 0.5;

/**
 * Fraction of a replica's gain that is lost while it loads. Loads from a copy
 * in the engine's memory or on its disk are five to ten times as fast as loads
 * from the weight store.
 */
function loadTimeLossShare(model: PlannedModel, engine: PlannedEngine): number {
  return Math.min(
    MAXIMUM_LOAD_TIME_LOSS_SHARE,
    expectedLoadMilliseconds(model, engine) / PAYBACK_MILLISECONDS,
  );
}

/** Fraction of a replica's gain that is lost on this engine. */
export function lossShare(model: PlannedModel, engine: PlannedEngine): number {
  const shares =
    loadTimeLossShare(model, engine) +
    utilizationLossShare(engine) +
    (1 - engine.capacityShare);
  return Math.min(MAXIMUM_LOSS_SHARE, shares);
}

/** Upper bound that leaves a place for a model that no other engine can load. */
const MAXIMUM_LOSS_SHARE = 0.65;

/** Upper bound: even the busiest engine is better than no engine. */
const MAXIMUM_UTILIZATION_LOSS_SHARE = 0.15;

/** Fraction of a replica's gain that is lost to the engine's other requests. */
function utilizationLossShare({utilization}: PlannedEngine): number {
  return Math.min(MAXIMUM_UTILIZATION_LOSS_SHARE, utilization);
}
