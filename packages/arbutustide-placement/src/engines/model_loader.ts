import type {EngineEntry, EngineRegistry} from './engine_registry.js';
import type {EngineService} from './engine_planner_environment.js';
import type {ModelDemand} from './model_demand.js';
import type {
  ModelMove,
  ModelPlanSettings,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';
import type {PendingEviction} from './pending_eviction.js';
import type {OrderSender} from './order_sender.js';
import type {UnloadedModel} from './unloaded_models.js';
import type {WaitingTurnSettings} from './waiting_turns.js';

import {OrderKind} from '@arbutustide/upstream';

import {LoadRateLimiter} from '../load_rate_limiter.js';
import {orderedModel} from './pending_model_order.js';
import {hasLocalCopy, maximumConcurrentStoreLoads} from './load_estimates.js';
import {MovePlanner} from './move_planner.js';
import {STORE_RATE_SHARE} from './planner_constants.js';
import {
  findBlockedReason,
  findLoadingReasons,
  UnloadedReason,
} from './unloaded_models.js';
import {WaitingTurns} from './waiting_turns.js';

/**
 * Time for the runs of a withdrawn model to end, after which its replacement is
 * planned for other engines as well.
 */
const EXPECTED_UNLOAD_MILLISECONDS = 1_000;

/** Settings of loads and evictions of models. */
export interface ModelLoaderSettings
  extends ModelPlanSettings, WaitingTurnSettings {
  /**
   * Delay between withdrawing a model from the nodes and unloading it. All
   * nodes must have learned of the withdrawal by then.
   */
  readonly evictionNoticeMilliseconds: number;
  /** Loads from the weight store that may start at the same moment. */
  readonly storeLoadBurst: number;
  /**
   * The loads of so many seconds may start beyond that, for passes that come
   * late.
   */
  readonly storeLoadBurstSeconds: number;
}

/** Orders the loads and evictions of models that the plan decides on. */
export class ModelLoader {
  /** Rate limiter of loads from the weight store, by service. */
  private readonly loadLimiters = new Map<string, LoadRateLimiter>();
  /**
   * Models whose load the weight store did not allow in the latest pass, by
   * service.
   */
  private readonly postponedModels = new Map<string, Set<string>>();
  /** Turns of models that wait for a place, by service. */
  private readonly turns = new Map<string, WaitingTurns>();
  /** By service. */
  private readonly movePlanners = new Map<string, MovePlanner>();

  constructor(
    private readonly registry: EngineRegistry,
    private readonly orderSender: OrderSender,
    private readonly demand: ModelDemand,
    private readonly settings: ModelLoaderSettings,
  ) {}

  /**
   * Forgets the loads so far. Those of another planner are unknown, so new
   * limiters start without tokens.
   */
  resetLimiters(): void {
    this.loadLimiters.clear();
    this.turns.clear();
  }

  /** Plans the models of a service and sends the orders. */
  plan(service: EngineService): void {
    this.postponedModels.set(service.name, new Set());
    this.processPendingEvictions(service);
    if (!this.registry.areHoldingsKnown(service.name)) return;
    const models = this.plannedModels(service);
    const settings = {...this.settings, slots: service.slots};
    // Without the engines that are leaving, so that their models are loaded
    // elsewhere before these engines stop.
    const known = this.registry
      .entriesOfService(service.name)
      .filter(({listed}) => listed.isReady)
      .map(entry => this.registry.toPlannedEngine(entry));
    const turns = this.turnsOf(service);
    const engines = turns.observe(known);
    const turn = turns.next(models, engines, settings);
    if (turn) this.carryOut(service, turn);
    const others = turn
      ? engines.map(engine => withMove(engine, turn))
      : engines;
    const movePlanner = this.movePlannerOf(service);
    for (const move of movePlanner.plan({models, engines: others, settings}))
      this.carryOut(service, move);
  }

  /** Loads the model of a move, or begins the eviction that it requires. */
  private carryOut(service: EngineService, move: ModelMove): void {
    const entry = this.registry.get(move.engineId);
    if (!entry) return;
    const [evicted] = move.evicted;
    if (evicted === undefined) {
      this.loadModel(service, entry, move);
      return;
    }
    entry.pendingEviction = {
      model: evicted,
      replacement: move.model,
      startedAtMilliseconds: performance.now(),
      isLate: false,
    };
  }

  /** Models with requests that no engine holds, and why. Call it after `plan`. */
  *unloadedModels(service: EngineService): Generator<UnloadedModel> {
    const requested = [...this.demand.requestedModels(service.name)];
    if (requested.length === 0) return;
    const entries = this.registry
      .entriesOfService(service.name)
      .filter(({listed}) => listed.isReady);
    const held = this.registry.heldModels(service.name);
    const loading = findLoadingReasons(entries);
    const blocked = this.registry.areHoldingsKnown(service.name)
      ? findBlockedReason(entries, entry => this.registry.canAcceptOrder(entry))
      : UnloadedReason.NO_REPORT;
    for (const name of requested) {
      if (held.has(name)) continue;
      const postponed = this.postponedModels.get(service.name)?.has(name)
        ? UnloadedReason.STORE_LIMIT
        : undefined;
      const reason = postponed ?? loading.get(name) ?? blocked;
      yield {service: service.name, model: name, reason};
    }
  }

  private plannedModels(service: EngineService): PlannedModel[] {
    return service.models.map(model =>
      this.demand.plannedModel(service.name, model),
    );
  }

  /** Unloads models that all nodes know to be withdrawn; loads replacements. */
  private processPendingEvictions(service: EngineService): void {
    for (const entry of this.registry.entriesOfService(service.name)) {
      const {pendingEviction, pendingModelOrder, holdings} = entry;
      if (!pendingEviction || pendingModelOrder) continue;
      pendingEviction.isLate ||=
        holdings.reportedUnloadMilliseconds > EXPECTED_UNLOAD_MILLISECONDS;
      if (!holdings.holdsModel(pendingEviction.model)) {
        this.loadReplacement(service, entry, pendingEviction);
        continue;
      }
      const age = performance.now() - pendingEviction.startedAtMilliseconds;
      if (age < this.settings.evictionNoticeMilliseconds) continue;
      if (holdings.isBusy || !holdings.isUpToDate) continue;
      void this.orderSender.send(
        entry,
        OrderKind.UNLOAD,
        pendingEviction.model,
        undefined,
      );
    }
  }

  /**
   * Loads the replacement; if that is not possible, the next pass replans. Memory
   * that comes late is planned for anew, as the replacement may be held elsewhere.
   */
  private loadReplacement(
    service: EngineService,
    entry: EngineEntry,
    eviction: PendingEviction,
  ): void {
    const {holdings} = entry;
    if (holdings.isBusy || !holdings.isUpToDate) return;
    entry.pendingEviction = undefined;
    if (eviction.isLate) return;
    this.loadModel(service, entry, {model: eviction.replacement, gain: 0});
  }

  private loadModel(
    service: EngineService,
    entry: EngineEntry,
    {model, gain}: Pick<ModelMove, 'model' | 'gain'>,
  ): void {
    const {holdings, listed} = entry;
    if (holdings.findModelLoadBlocker(model) !== undefined) return;
    if (!hasLocalCopy(model, listed)) {
      const limiter = this.loadLimiterOf(service);
      if (limiter.availableLoads(this.countModelLoads(service)) < 1) {
        this.postponedModels.get(service.name)?.add(model);
        return;
      }
      limiter.recordStarted(1);
    }
    void this.orderSender.send(entry, OrderKind.LOAD, model, undefined, gain);
  }

  /**
   * Model loads in progress, or ordered, on the engines of a service. Those that
   * are due have ended, although no report shows it yet.
   */
  private countModelLoads({name}: EngineService): number {
    return this.registry
      .entriesOfService(name)
      .filter(
        entry =>
          this.registry.isLoadUnderWay(entry) ||
          orderedModel(entry.pendingModelOrder) !== undefined,
      ).length;
  }

  private turnsOf({name}: EngineService): WaitingTurns {
    const existing = this.turns.get(name);
    if (existing) return existing;
    const turns = new WaitingTurns(this.settings);
    this.turns.set(name, turns);
    return turns;
  }

  private movePlannerOf({name}: EngineService): MovePlanner {
    const movePlanner = this.movePlanners.get(name) ?? new MovePlanner();
    this.movePlanners.set(name, movePlanner);
    return movePlanner;
  }

  private loadLimiterOf(service: EngineService): LoadRateLimiter {
    const existing = this.loadLimiters.get(service.name);
    if (existing) return existing;
    const limiter = new LoadRateLimiter(
      service.storeLoadsPerSecond * STORE_RATE_SHARE,
      maximumConcurrentStoreLoads(service),
      this.settings.storeLoadBurst +
        service.storeLoadsPerSecond * this.settings.storeLoadBurstSeconds,
      0,
    );
    this.loadLimiters.set(service.name, limiter);
    return limiter;
  }
}

/** The engine as the plan must see it once the move is decided. */
function withMove(
  engine: PlannedEngine,
  {engineId, model, evicted}: ModelMove,
): PlannedEngine {
  if (engine.id !== engineId) return engine;
  return {
    ...engine,
    models: engine.models.filter(name => !evicted.includes(name)),
    loadingModel: model,
    canAcceptOrder: false,
  };
}
