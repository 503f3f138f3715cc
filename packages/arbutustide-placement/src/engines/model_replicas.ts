import type {
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';

/** A model with the number of engines that hold it, as the plan proceeds. */
export interface ModelReplicas {
  replicas: number;
  /** Sum of the replicas' shares of their engines' slots. */
  capacity: number;
  readonly model: PlannedModel;
}

/** Fraction of the peak demand that the last replica is kept for. */
const PEAK_DEMAND_SHARE = 0.25;
/** Gain of holding a model on at least one engine. */
const FIRST_REPLICA_GAIN = 1;
/** Gain of a second replica, which covers the loss of an engine. */
const SPARE_REPLICA_GAIN = 0.8;
/** Gain of a replica that is not needed, per concurrent request. */
const SURPLUS_REPLICA_GAIN = 0.01;
const REPLICAS_WITH_SPARE = 2;
/** Gain of adding a replica, in concurrent requests served better. */
export function additionGain(
  {replicas, capacity, model}: ModelReplicas,
  {replicaTargetUtilization, slots, spareReplicaDemand}: ModelPlanParameters,
): number {
  const {expectedDemand, peakDemand, queuedRequests} = model;
  const replicaDemand = replicaTargetUtilization * slots;
  const excessDemand = Math.max(0, expectedDemand - capacity * replicaDemand);
  // Requests for which all slots of the replicas are taken have no other place.
  const unservedDemand = Math.max(0, expectedDemand - capacity * slots);
  const servedExcess =
    Math.min(excessDemand, replicaDemand) +
    Math.min(unservedDemand, slots - replicaDemand);
  if (replicas === 0) {
    const expectedReturningDemand = PEAK_DEMAND_SHARE * peakDemand;
    return (
      FIRST_REPLICA_GAIN +
      queuedRequests +
      servedExcess +
      expectedReturningDemand
    );
  }
  const isSpareDue =
    replicas < REPLICAS_WITH_SPARE && peakDemand >= spareReplicaDemand;
  const spare = isSpareDue ? SPARE_REPLICA_GAIN : 0;
  return (
    spare +
    servedExcess +
    (SURPLUS_REPLICA_GAIN * expectedDemand) / (replicas + 1)
  );
}

/** Loss from removing a replica, in the unit of the gain. */
export function removalLoss(
  {replicas, capacity, model}: ModelReplicas,
  {capacityShare}: PlannedEngine,
  settings: ModelPlanParameters,
): number {
  const remaining = {
    replicas: replicas - 1,
    capacity: capacity - capacityShare,
    model,
  };
  return additionGain(remaining, settings);
}

/** Records that an engine gets a replica or, with a count of -1, loses it. */
export function changeReplicas(
  modelReplicas: ModelReplicas,
  {capacityShare}: PlannedEngine,
  count: 1 | -1,
): void {
  modelReplicas.replicas += count;
  modelReplicas.capacity += count * capacityShare;
}

export function countReplicas(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
): Map<string, ModelReplicas> {
  const replicasByModel = new Map<string, ModelReplicas>(
    models.map(model => [model.name, {replicas: 0, capacity: 0, model}]),
  );
  for (const engine of engines) {
    for (const name of modelsHeldBy(engine)) {
      const modelReplicas = replicasByModel.get(name);
      if (modelReplicas) changeReplicas(modelReplicas, engine, 1);
    }
  }
  return replicasByModel;
}

/** Models that the engine holds or is loading. */
export function modelsHeldBy({
  models,
  loadingModel,
}: PlannedEngine): Set<string> {
  return new Set(
    loadingModel === undefined ? models : [...models, loadingModel],
  );
}
