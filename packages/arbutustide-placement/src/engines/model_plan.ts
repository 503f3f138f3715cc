import type {CataloguedModel} from './engine_planner_environment.js';
import type {ModelReplicas} from './model_replicas.js';

import {candidateMove} from './candidate_move.js';
import {
  additionGain,
  changeReplicas,
  countReplicas,
  modelsHeldBy,
} from './model_replicas.js';

/** A model with its demand, the input of the plan. */
export interface PlannedModel extends CataloguedModel {
  /** Expected concurrent requests, summed over all nodes. */
  readonly expectedDemand: number;
  /** Highest recent demand in concurrent requests; decays slowly. */
  readonly peakDemand: number;
  /** Requests currently queued for the model. */
  readonly queuedRequests: number;
  /** Time for which its requests have found no engine that holds it. */
  readonly waitedMilliseconds: number;
}

/** An engine with the models it holds, the input of the plan. */
export interface PlannedEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly freeMegabytes: number;
  /** Models held, without those that are about to be unloaded. */
  readonly models: readonly string[];
  /** Model that is being loaded; counts as held. */
  readonly loadingModel: string | undefined;
  /** Requests in flight at the engine, as a fraction of its slots. */
  readonly utilization: number;
  /** Share of its slots that its rate limit lets it use; 1 without a limit. */
  readonly capacityShare: number;
  /** Whether the engine can accept an order now. */
  readonly canAcceptOrder: boolean;
  /** Models that must not be evicted now. */
  readonly pinnedModels: ReadonlySet<string>;
  readonly modelsInMemory: ReadonlySet<string>;
  readonly modelsOnDisk: ReadonlySet<string>;
}

/** A load of a model on an engine, with the evictions it requires. */
export interface ModelMove {
  readonly engineId: string;
  readonly model: string;
  /** Models that must be unloaded first. */
  readonly evicted: readonly string[];
  /** Gain minus cost, in concurrent requests served better. */
  readonly gain: number;
}

/** Weights of the plan; gains and costs count concurrent requests. */
export interface ModelPlanSettings {
  /**
   * Fraction of an engine's slots that the requests for one model may use
   * before another replica is added.
   */
  readonly replicaTargetUtilization: number;
  /** Peak demand from which a model is kept on two engines. */
  readonly spareReplicaDemand: number;
  /** Factor by which the gain must exceed the cost of the move. */
  readonly hysteresisFactor: number;
  /** Minimum gain of a move while no engine is busy. */
  readonly moveCost: number;
  /**
   * Increase of the minimum gain when all engines are busy, as a fraction of
   * the slots.
   */
  readonly busyMoveCostShare: number;
}

/** Weights of the plan, with the slots of each engine. */
export interface ModelPlanParameters extends ModelPlanSettings {
  readonly slots: number;
}

/** Waiting for so long puts a model ahead of one with a request more. */
const WAITING_RANK_MILLISECONDS = 2_000;

/**
 * Chooses the next loads of models as demand shifts between them. Every model
 * is held by some engine while memory is free, a model with high peak demand is
 * kept on two engines, and further replicas are added only if the demand
 * exceeds what the present ones serve well. A move blocks its engine for other
 * orders for seconds.
 *
 * @return at most one move per engine, for the models with the highest gain
 *     and the longest wait first.
 */
export function* planModelMoves(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
  settings: ModelPlanParameters,
): Generator<ModelMove> {
  const replicasByModel = countReplicas(models, engines);
  const available = new Set(
    engines.filter(({canAcceptOrder}) => canAcceptOrder),
  );
  const minimumGain = minimumWorthwhileGain(
    available.size / engines.length,
    settings,
  );
  const domains = domainsByModel(engines);
  for (const modelReplicas of inOrder(replicasByModel, settings)) {
    const gain = additionGain(modelReplicas, settings);
    if (gain <= minimumGain) continue;
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
      if (engine.id !== move.engineId) continue;
      available.delete(engine);
      changeReplicas(modelReplicas, engine, 1);
      for (const name of move.evicted) {
        const evicted = replicasByModel.get(name);
        if (evicted) changeReplicas(evicted, engine, -1);
      }
    }
    yield move;
  }
}

/**
 * Models by the gain of one more replica, the highest first. The order counts
 * the time for which requests have waited as well, so that while the weight
 * store or the engines allow few loads, rare models get their turn.
 */
function inOrder(
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): ModelReplicas[] {
  const rankOf = (modelReplicas: ModelReplicas) =>
    additionGain(modelReplicas, settings) +
    modelReplicas.model.waitedMilliseconds / WAITING_RANK_MILLISECONDS;
  return [...replicasByModel.values()]
    .map(modelReplicas => ({modelReplicas, rank: rankOf(modelReplicas)}))
    .sort((left, right) => right.rank - left.rank)
    .map(({modelReplicas}) => modelReplicas);
}

/**
 * Minimum gain of a move. An engine that loads a model accepts no other order
 * for seconds, so the minimum rises as fewer engines are free: the last ones
 * are reserved for demand that may still arise.
 */
function minimumWorthwhileGain(
  freeShare: number,
  {moveCost, busyMoveCostShare, slots}: ModelPlanParameters,
): number {
  const busyShare = 1 - freeShare;
  return moveCost + busyMoveCostShare * slots * busyShare * busyShare;
}

/** Failure domains in which each model is held, by model name. */
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

/** The cheapest engine to load the model on, if the gain is worth it. */
function bestMove(
  {model}: ModelReplicas,
  gain: number,
  engines: Iterable<PlannedEngine>,
  coveredDomains: ReadonlySet<string>,
  replicasByModel: ReadonlyMap<string, ModelReplicas>,
  settings: ModelPlanParameters,
): ModelMove | undefined {
  let best: ModelMove | undefined;
  let bestGain = gain - gain / settings.hysteresisFactor;
  for (const engine of engines) {
    if (modelsHeldBy(engine).has(model.name)) continue;
    const move = candidateMove(model, gain, engine, replicasByModel, settings);
    if (!move) continue;
    const isCovered = coveredDomains.has(engine.failureDomain);
    const netGain = move.gain - (isCovered ? SAME_DOMAIN_COST : 0);
    if (netGain <= bestGain) continue;
    bestGain = netGain;
    best = {...move, gain: netGain};
  }
  return best;
}

/**
 * Cost of a second replica in the same failure domain. Replicas in several
 * domains survive the loss of a domain and are closer to the callers.
 */
const SAME_DOMAIN_COST = 0.1;
