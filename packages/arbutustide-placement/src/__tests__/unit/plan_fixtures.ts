import type {
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from '../../engines/model_plan.js';

export const PLAN_PARAMETERS: ModelPlanParameters = {
  replicaTargetUtilization: 0.25,
  slots: 40,
  spareReplicaDemand: 3,
  hysteresisFactor: 1.5,
  moveCost: 0.3,
  busyMoveCostShare: 0.2,
};

/** A model that nobody asks for. */
export function plannedModel(
  name: string,
  changes: Partial<PlannedModel> = {},
): PlannedModel {
  return {
    name,
    megabytes: 70,
    storeLoadMilliseconds: 4_000,
    diskLoadMilliseconds: 800,
    memoryLoadMilliseconds: 400,
    expectedDemand: 0,
    peakDemand: 0,
    queuedRequests: 0,
    waitedMilliseconds: 0,
    ...changes,
  };
}

/** An idle engine with places for three models. */
export function plannedEngine(
  id: string,
  models: readonly string[],
  changes: Partial<PlannedEngine> = {},
): PlannedEngine {
  return {
    id,
    failureDomain: 'domain',
    freeMegabytes: 220 - models.length * 70,
    models,
    loadingModel: undefined,
    utilization: 0,
    capacityShare: 1,
    canAcceptOrder: true,
    pinnedModels: new Set(),
    modelsInMemory: new Set(),
    modelsOnDisk: new Set(),
    ...changes,
  };
}
