import type {CataloguedModel} from './fleet_surroundings.js';

/** A model with what is asked of it. */
export interface PlannedModel extends CataloguedModel {
  /** Requests at once, expected over all nodes. */
  readonly demand: number;
  /** The highest demand that is remembered; it fades slowly. */
  readonly rememberedDemand: number;
  /** Requests that wait for it at this moment. */
  readonly waiting: number;
}

/** An engine with what it holds. */
export interface PlannedEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly freeMegabytes: number;
  /** Models held and not about to be unloaded. */
  readonly models: readonly string[];
  /** A model being loaded, which counts as held. */
  readonly loading: string | undefined;
  /** Requests at the engine, as a part of its slots. */
  readonly load: number;
  /** Whether it can take an order now. */
  readonly canTakeOrder: boolean;
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
  /** Remembered demand from which a model is kept on two engines. */
  readonly spareDemand: number;
  /** Factor by which a gain must exceed the loss of what makes room. */
  readonly hysteresis: number;
  /** Least gain that is worth a move while no engine is busy. */
  readonly moveCost: number;
  /** What that gain rises by as all engines become busy, as a part of slots. */
  readonly busyCostShare: number;
}

/** The weights with the slots of the engines planned for. */
export interface SizedSettings extends ModelPlanSettings {
  readonly slots: number;
}

interface Holding {
  replicas: number;
  readonly model: PlannedModel;
}

/** Part of the remembered demand that the last replica is kept for. */
const REMEMBERED_SHARE = 0.25;
/** Worth of one engine that holds a model at all; gains count requests. */
const COVERAGE_GAIN = 1;
/** Worth of a replica in reserve, in case an engine is lost. */
const SPARE_GAIN = 0.8;
/** What an unneeded replica is worth for each request at once. */
const SURPLUS_GAIN = 0.01;
const SPARE_REPLICAS = 2;

/**
 * Chooses the next moves of models between engines. It answers demand that
 * moves between models: each model is held somewhere while there is room, one
 * that was in demand is kept on two engines, and more replicas are made only
 * where the demand exceeds what those there are serve well. Each move costs
 * the engine seconds in which it takes no other order.
 */
export function* planModels(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
  settings: SizedSettings,
): Generator<ModelMove> {
  const holdings = countReplicas(models, engines);
  const free = new Set(engines.filter(({canTakeOrder}) => canTakeOrder));
  const leastGain = worthwhileGain(free.size / engines.length, settings);
  const domains = domainsByModel(engines);
  const byGain = [...holdings.values()].sort(
    (left, right) =>
      additionGain(right, settings) - additionGain(left, settings),
  );
  for (const holding of byGain) {
    const gain = additionGain(holding, settings);
    if (gain <= leastGain) return;
    const covered = domains.get(holding.model.name) ?? new Set();
    const move = bestMove(holding, gain, free, covered, holdings, settings);
    if (!move) continue;
    for (const engine of free) {
      if (engine.id === move.engineId) free.delete(engine);
    }
    holding.replicas += 1;
    for (const name of move.evicted) {
      const evicted = holdings.get(name);
      if (evicted) evicted.replicas -= 1;
    }
    yield move;
  }
}

/**
 * The gain from which a move is worth the engine's time. An engine that loads
 * takes no other order for seconds, so the last free ones are kept for demand
 * that may yet come.
 */
function worthwhileGain(
  freeShare: number,
  {moveCost, busyCostShare, slots}: SizedSettings,
): number {
  const busyShare = 1 - freeShare;
  return moveCost + busyCostShare * slots * busyShare * busyShare;
}

/** Requests at once that one more replica serves better. */
function additionGain(
  {replicas, model}: Holding,
  {replicaShare, slots, spareDemand}: SizedSettings,
): number {
  const {demand, rememberedDemand, waiting} = model;
  const replicaDemand = replicaShare * slots;
  const excess = Math.max(0, demand - replicas * replicaDemand);
  const relief = Math.min(excess, replicaDemand);
  if (replicas === 0) {
    const expectedReturn = REMEMBERED_SHARE * rememberedDemand;
    return COVERAGE_GAIN + waiting + relief + expectedReturn;
  }
  const isSpareDue =
    replicas < SPARE_REPLICAS && rememberedDemand >= spareDemand;
  const spare = isSpareDue ? SPARE_GAIN : 0;
  return spare + relief + (SURPLUS_GAIN * demand) / (replicas + 1);
}

/** What is lost with one replica less, in the same measure. */
function removalLoss(
  {replicas, model}: Holding,
  settings: SizedSettings,
): number {
  return additionGain({replicas: replicas - 1, model}, settings);
}

function countReplicas(
  models: readonly PlannedModel[],
  engines: readonly PlannedEngine[],
): Map<string, Holding> {
  const holdings = new Map<string, Holding>(
    models.map(model => [model.name, {replicas: 0, model}]),
  );
  for (const engine of engines) {
    for (const name of heldBy(engine)) {
      const holding = holdings.get(name);
      if (holding) holding.replicas += 1;
    }
  }
  return holdings;
}

/** Failure domains in which each model is held. */
function domainsByModel(
  engines: readonly PlannedEngine[],
): Map<string, Set<string>> {
  const domains = new Map<string, Set<string>>();
  for (const engine of engines) {
    for (const name of heldBy(engine)) {
      const known = domains.get(name) ?? new Set();
      known.add(engine.failureDomain);
      domains.set(name, known);
    }
  }
  return domains;
}

function heldBy({models, loading}: PlannedEngine): Set<string> {
  return new Set(loading === undefined ? models : [...models, loading]);
}

function bestMove(
  {model}: Holding,
  gain: number,
  engines: Iterable<PlannedEngine>,
  coveredDomains: ReadonlySet<string>,
  holdings: ReadonlyMap<string, Holding>,
  settings: SizedSettings,
): ModelMove | undefined {
  let best: ModelMove | undefined;
  let bestCost = gain / settings.hysteresis;
  for (const engine of engines) {
    if (heldBy(engine).has(model.name)) continue;
    const eviction = cheapestEviction(model, engine, holdings, settings);
    if (!eviction) continue;
    const isCovered = coveredDomains.has(engine.failureDomain);
    const cost =
      eviction.loss +
      gain * (lostShare(model, engine) + busyShare(engine)) +
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
const PAY_OFF_MILLISECONDS = 20_000;

/** A model must be loadable however long that takes. */
const MOST_LOST_SHARE = 0.5;

/**
 * Part of a replica's gain that is lost while it is loaded. Loads from an
 * engine's own copies are five to ten times as fast.
 */
function lostShare(
  model: PlannedModel,
  {modelsInMemory, modelsOnDisk}: PlannedEngine,
): number {
  const {name, storeLoadMilliseconds, diskLoadMilliseconds} = model;
  const milliseconds = modelsInMemory.has(name)
    ? model.memoryLoadMilliseconds
    : modelsOnDisk.has(name)
      ? diskLoadMilliseconds
      : storeLoadMilliseconds;
  return Math.min(MOST_LOST_SHARE, milliseconds / PAY_OFF_MILLISECONDS);
}

/** The busiest engine is still better than none. */
const MOST_BUSY_SHARE = 0.15;

/** Part of a replica's gain that is lost to requests the engine has already. */
function busyShare({load}: PlannedEngine): number {
  return Math.min(MOST_BUSY_SHARE, load);
}

interface Eviction {
  readonly names: readonly string[];
  readonly loss: number;
}

/** The models whose removal makes room at the least loss. */
function cheapestEviction(
  {megabytes}: PlannedModel,
  {freeMegabytes, models}: PlannedEngine,
  holdings: ReadonlyMap<string, Holding>,
  settings: SizedSettings,
): Eviction | undefined {
  const removable = models
    .map(name => {
      const holding = holdings.get(name);
      return {
        name,
        megabytes: holding?.model.megabytes ?? 0,
        loss: holding ? removalLoss(holding, settings) : 0,
      };
    })
    .sort((left, right) => left.loss - right.loss);
  const names: string[] = [];
  let room = freeMegabytes;
  let loss = 0;
  for (const candidate of removable) {
    if (room >= megabytes) break;
    names.push(candidate.name);
    room += candidate.megabytes;
    loss += candidate.loss;
  }
  return room >= megabytes ? {names, loss} : undefined;
}
