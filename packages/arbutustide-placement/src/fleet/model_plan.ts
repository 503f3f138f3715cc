import type {CataloguedModel} from './fleet_surroundings.js';

/** A model with what is asked of it. */
export interface PlannedModel extends CataloguedModel {
  /** Requests at once, expected over all nodes. */
  readonly expectedDemand: number;
  /** The highest expectedDemand that is remembered; it fades slowly. */
  readonly peakDemand: number;
  /** Requests that wait for it at this moment. */
  readonly queuedRequests: number;
}

/** An engine with what it holds. */
export interface PlannedEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly freeMegabytes: number;
  /** Models held and not about to be unloaded. */
  readonly models: readonly string[];
  /** A model being loaded, which counts as held. */
  readonly loadingModel: string | undefined;
  /** Requests at the engine, as a part of its slots. */
  readonly utilization: number;
  /** Whether it can take an order now. */
  readonly canAcceptOrder: boolean;
  readonly modelsInMemory: ReadonlySet<string>;
  readonly modelsOnDisk: ReadonlySet<string>;
}

/** One change of what an engine holds. */
export interface ModelMove {
  readonly engineId: string;
  readonly model: string;
  /** Models that must make room first. */
  readonly evicted: readonly string[];
  readonly gain: number;
}

/** Weights of the plan. */
export interface ModelPlanSettings {
  /**
   * Part of an engine's slots that one model's requests may take before
   * another replica is due.
   */
  readonly replicaShare: number;
  /** Remembered expectedDemand from which a model is kept on two engines. */
  readonly spareDemand: number;
  /** Factor by which a gain must exceed the loss of what makes room. */
  readonly hysteresis: number;
  /** Least gain that is worth a move while no engine is busy. */
  readonly moveCost: number;
  /** What that gain rises by as all engines become busy, as a part of slots. */
  readonly busyCostShare: number;
}

/** The weights with the slots of the engines planned for. */
export interface ModelPlanParameters extends ModelPlanSettings {
  readonly slots: number;
}

interface ModelReplicas {
  replicas: number;
  readonly model: PlannedModel;
}

/** Part of the remembered expectedDemand that the last replica is kept for. */
const PEAK_DEMAND_SHARE = 0.25;
/** Worth of one engine that holds a model at all; gains count requests. */
const FIRST_REPLICA_GAIN = 1;
/** Worth of a replica in reserve, in case an engine is lost. */
const SPARE_REPLICA_GAIN = 0.8;
/** What an unneeded replica is worth for each request at once. */
const SURPLUS_REPLICA_GAIN = 0.01;
const REPLICAS_WITH_SPARE = 2;

/**
 * Chooses the next moves of models between engines. It answers expectedDemand that
 * moves between models: each model is held somewhere while there is room, one
 * that was in expectedDemand is kept on two engines, and more replicas are made only
 * where the expectedDemand exceeds what those there are serve well. Each move costs
 * the engine seconds in which it takes no other order.
 */
export function* planModels(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
  settings: ModelPlanParameters,
): Generator<ModelMove> {
  const replicasByModel = countReplicas(models, engines);
  const available = new Set(
    engines.filter(({canAcceptOrder: canTakeOrder}) => canTakeOrder),
  );
  const minimumGain = minimumWorthwhileGain(
    available.size / engines.length,
    settings,
  );
  const domains = domainsByModel(engines);
  const byGain = [...replicasByModel.values()].sort(
    (left, right) =>
      additionGain(right, settings) - additionGain(left, settings),
  );
  for (const modelReplicas of byGain) {
    const gain = additionGain(modelReplicas, settings);
    if (gain <= minimumGain) return;
    const coveredDomains = domains.get(modelReplicas.model.name) ?? new Set();
    const move = bestMove(
      modelReplicas,
      gain,
      available,
      coveredDomains,
      replicasByModel,
      settings,
    );
    if (!move) continue;
    for (const engine of available) {
      if (engine.id === move.engineId) available.delete(engine);
    }
    modelReplicas.replicas += 1;
    for (const name of move.evicted) {
      const evicted = replicasByModel.get(name);
      if (evicted) evicted.replicas -= 1;
    }
    yield move;
  }
}

/**
 * The gain from which a move is worth the engine's time. An engine that loads
 * takes no other order for seconds, so the last free ones are kept for expectedDemand
 * that may yet come.
 */
function minimumWorthwhileGain(
  freeShare: number,
  {moveCost, busyCostShare, slots}: ModelPlanParameters,
): number {
  const utilizationLossShare = 1 - freeShare;
  return (
    moveCost +
    busyCostShare * slots * utilizationLossShare * utilizationLossShare
  );
}

/** Requests at once that one more replica serves better. */
function additionGain(
  {replicas, model}: ModelReplicas,
  {replicaShare, slots, spareDemand}: ModelPlanParameters,
): number {
  const {expectedDemand, peakDemand, queuedRequests} = model;
  const replicaDemand = replicaShare * slots;
  const excessDemand = Math.max(0, expectedDemand - replicas * replicaDemand);
  const servedExcess = Math.min(excessDemand, replicaDemand);
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
    replicas < REPLICAS_WITH_SPARE && peakDemand >= spareDemand;
  const spare = isSpareDue ? SPARE_REPLICA_GAIN : 0;
  return (
    spare +
    servedExcess +
    (SURPLUS_REPLICA_GAIN * expectedDemand) / (replicas + 1)
  );
}

/** What is lost with one replica less, in the same measure. */
function removalLoss(
  {replicas, model}: ModelReplicas,
  settings: ModelPlanParameters,
): number {
  return additionGain({replicas: replicas - 1, model}, settings);
}

function countReplicas(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
): Map<string, ModelReplicas> {
  const replicasByModel = new Map<string, ModelReplicas>(
    models.map(model => [model.name, {replicas: 0, model}]),
  );
  for (const engine of engines) {
    for (const name of modelsHeldBy(engine)) {
      const modelReplicas = replicasByModel.get(name);
      if (modelReplicas) modelReplicas.replicas += 1;
    }
  }
  return replicasByModel;
}

/** Failure domains in which each model is held. */
function domainsByModel(
  engines: readonly PlannedEngine[],
): Map<string, Set<string>> {
  const domains = new Map<string, Set<string>>();
  for (const engine of engines) {
    for (const name of modelsHeldBy(engine)) {
      const domainsOfModel = domains.get(name) ?? new Set();
      domainsOfModel.add(engine.failureDomain);
      domains.set(name, domainsOfModel);
    }
  }
  return domains;
}

function modelsHeldBy({
  models,
  loadingModel: loading,
}: PlannedEngine): Set<string> {
  return new Set(loading === undefined ? models : [...models, loading]);
}

function bestMove(
  {model}: ModelReplicas,
  gain: number,
  engines: Iterable<PlannedEngine>,
  coveredDomains: ReadonlySet<string>,
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): ModelMove | undefined {
  let best: ModelMove | undefined;
  let bestCost = gain / settings.hysteresis;
  for (const engine of engines) {
    if (modelsHeldBy(engine).has(model.name)) continue;
    const eviction = cheapestEviction(model, engine, replicasByModel, settings);
    if (!eviction) continue;
    const isCovered = coveredDomains.has(engine.failureDomain);
    const cost =
      eviction.loss +
      gain * (loadTimeLossShare(model, engine) + busyShare(engine)) +
      (isCovered ? SAME_DOMAIN_COST : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = {
      engineId: engine.id,
      model: model.name,
      evicted: eviction.names,
      gain: gain - cost,
    };
  }
  return best;
}

/** Replicas in several domains are lost less easily and nearer to callers. */
const SAME_DOMAIN_COST = 0.1;
/** Demand moves on within this time, so that a replica must pay off by then. */
const PAYBACK_MILLISECONDS = 20_000;

/** A model must be loadable however long that takes. */
const MAXIMUM_LOAD_TIME_LOSS_SHARE = 0.5;

/**
 * Part of a replica's gain that is lost while it is loaded. Loads from an
 * engine's own copies are five to ten times as fast.
 */
function loadTimeLossShare(
  model: PlannedModel,
  {modelsInMemory, modelsOnDisk}: PlannedEngine,
): number {
  const {name, storeLoadMilliseconds, diskLoadMilliseconds} = model;
  const milliseconds = modelsInMemory.has(name)
    ? model.memoryLoadMilliseconds
    : modelsOnDisk.has(name)
      ? diskLoadMilliseconds
      : storeLoadMilliseconds;
  return Math.min(
    MAXIMUM_LOAD_TIME_LOSS_SHARE,
    milliseconds / PAYBACK_MILLISECONDS,
  );
}

/** The busiest engine is still better than none. */
const MAXIMUM_UTILIZATION_LOSS_SHARE = 0.15;

/** Part of a replica's gain that is lost to requests the engine has already. */
function busyShare({utilization: load}: PlannedEngine): number {
  return Math.min(MAXIMUM_UTILIZATION_LOSS_SHARE, load);
}

interface Eviction {
  readonly names: readonly string[];
  readonly loss: number;
}

/** The models whose removal makes room at the least loss. */
function cheapestEviction(
  {megabytes}: PlannedModel,
  {freeMegabytes, models}: PlannedEngine,
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): Eviction | undefined {
  const removable = models
    .map(name => {
      const modelReplicas = replicasByModel.get(name);
      return {
        name,
        megabytes: modelReplicas?.model.megabytes ?? 0,
        loss: modelReplicas ? removalLoss(modelReplicas, settings) : 0,
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
