import type {PlannerLease} from '../planner_lease.js';
import type {PlannerLeadership} from '../planner_leadership.js';
import type {AdapterLoaderSettings} from './adapter_loader.js';
import type {EngineEntry, EngineRegistrySettings} from './engine_registry.js';
import type {ExpectedHolding, RequestedHolding} from './expected_holding.js';
import type {EngineClient} from './engine_client.js';
import type {
  CataloguedModel,
  EngineService,
  EnginePlannerEnvironment,
} from './engine_planner_environment.js';
import type {ModelMove, ModelPlanSettings, PlannedModel} from './model_plan.js';

import {delay, SuspensionDetector} from '@arbutustide/errors';
import {OrderKind} from '@arbutustide/upstream';

import {DemandTracker} from '../demand_tracker.js';
import {LoadRateLimiter} from '../load_rate_limiter.js';
import {AdapterLoader} from './adapter_loader.js';
import {EngineRegistry} from './engine_registry.js';
import {expectedHoldingAt} from './expected_holding.js';
import {
  expectedLoadMilliseconds,
  maximumConcurrentStoreLoads,
} from './load_estimates.js';
import {PlannerStep} from './engine_planner_environment.js';
import {planModelMoves} from './model_plan.js';
import {STANDBY_MILLISECONDS, STORE_RATE_SHARE} from './planner_constants.js';
import {OrderSender} from './order_sender.js';

/** Settings of the planner. */
export interface EnginePlannerSettings
  extends ModelPlanSettings, EngineRegistrySettings, AdapterLoaderSettings {
  /** Name of this node, sent with its orders. */
  readonly holder: string;
  /** Pause between two planning passes. */
  readonly planningIntervalMilliseconds: number;
  /** Clock drift above which this process counts as suspended. */
  readonly suspensionMilliseconds: number;
  /**
   * Delay between withdrawing a model from the nodes and unloading it. All
   * nodes must have learned of the withdrawal by then.
   */
  readonly evictionNoticeMilliseconds: number;
  /** Averaging window that applies while demand rises. */
  readonly shortWindowMilliseconds: number;
  /** Averaging window that applies while demand falls. */
  readonly longWindowMilliseconds: number;
  /**
   * Initial demand for each engine beyond the first that holds a model, as a
   * fraction of the demand that one replica serves well.
   */
  readonly initialDemandShare: number;
  /** Loads from the weight store that may start at the same moment. */
  readonly storeLoadBurst: number;
}

/**
 * Decides which models and adapters each engine holds, and sends the orders,
 * while this node is the planner. After a change of leadership it sends no
 * orders until the predecessor has certainly stopped sending its own.
 */
export class EnginePlanner {
  private readonly registry: EngineRegistry;
  private readonly orderSender: OrderSender;
  private readonly adapterLoader: AdapterLoader;
  /** Rate limiter of loads from the weight store, by service. */
  private readonly loadLimiters = new Map<string, LoadRateLimiter>();
  /** Demand for models, by service. */
  private readonly demandTrackers = new Map<string, DemandTracker>();
  private readonly suspensionDetector: SuspensionDetector;
  /** Epoch of the lease under which this node plans, if it does. */
  private heldEpoch: number | undefined;
  private lastHeldEpoch = 0;

  constructor(
    private readonly lease: PlannerLease,
    private readonly leadership: PlannerLeadership,
    engineClient: EngineClient,
    private readonly environment: EnginePlannerEnvironment,
    private readonly settings: EnginePlannerSettings,
  ) {
    this.registry = new EngineRegistry(engineClient, environment, settings);
    this.suspensionDetector = new SuspensionDetector(
      settings.suspensionMilliseconds,
    );
    this.orderSender = new OrderSender(lease, engineClient, {
      holder: settings.holder,
      canSendOrders: () => this.checkCanSendOrders(),
      recordEvent: event => environment.recordEvent(event),
    });
    this.adapterLoader = new AdapterLoader(
      this.registry,
      this.orderSender,
      environment,
      settings,
    );
  }

  /**
   * Whether this node may send orders now. A process that was suspended must
   * renew its lease first.
   */
  checkCanSendOrders(): boolean {
    if (this.suspensionDetector.checkSuspended())
      this.lease.invalidateUntilRenewed();
    return (
      this.leadership.checkLeadership() &&
      this.heldEpoch === this.leadership.epoch &&
      this.leadership.hasPredecessorStopped
    );
  }

  /** Runs planning passes until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.syncLeaseState();
      let pause = STANDBY_MILLISECONDS;
      if (this.heldEpoch !== undefined) {
        pause = this.settings.planningIntervalMilliseconds;
        await this.runPass(this.heldEpoch);
      }
      await delay(pause, signal);
    }
  }

  /**
   * Requests that some engine hold a model or adapter. An adapter is ordered at
   * once if its model is held; models are left to the next planning pass, which
   * does not go by versions.
   *
   * @param softwareVersion version that the engine must have; undefined if any
   *     will do.
   * @return where and when it will be usable; undefined if this node does not
   *     lead or the model is not in the catalogue.
   */
  async requestHolding(
    service: string,
    {model, adapter}: RequestedHolding,
    softwareVersion?: string,
  ): Promise<ExpectedHolding | undefined> {
    if (!this.checkCanSendOrders()) {
      return softwareVersion === undefined
        ? this.expectHoldingAfterTakeover(service, model, adapter)
        : undefined;
    }
    const isModelHeld = this.registry
      .entriesOfService(service, softwareVersion)
      .some(({holdings}) => holdings.holdsModel(model));
    if (adapter !== undefined && isModelHeld)
      return this.adapterLoader.load(
        service,
        {model, adapter},
        softwareVersion,
      );
    return softwareVersion === undefined
      ? this.expectModelHolding(service, model)
      : undefined;
  }

  /** While this node leads but must wait for its predecessor to stop. */
  private expectHoldingAfterTakeover(
    service: string,
    model: string,
    adapter: string | undefined,
  ): ExpectedHolding | undefined {
    if (!this.leadership.checkLeadership()) return undefined;
    const waitMilliseconds = this.leadership.remainingTakeoverMilliseconds;
    const expected = this.expectModelHolding(service, model);
    if (waitMilliseconds === 0 || !expected) return undefined;
    const loadMilliseconds =
      expected.readyInMilliseconds +
      (adapter === undefined ? 0 : this.settings.adapterLoadMilliseconds);
    return expectedHoldingAt(undefined, waitMilliseconds + loadMilliseconds);
  }

  private syncLeaseState(): void {
    const epoch = this.leadership.checkLeadership()
      ? this.leadership.epoch
      : undefined;
    if (epoch === this.heldEpoch) return;
    const {recordEvent} = this.environment;
    if (epoch === undefined) {
      recordEvent({step: PlannerStep.LEASE_LOST, epoch: this.heldEpoch ?? 0});
      this.registry.clear(this.heldEpoch ?? 0);
    } else {
      recordEvent({step: PlannerStep.LEASE_GAINED, epoch});
      // Recent loads of a predecessor are unknown. New limiters therefore start
      // without tokens.
      if (epoch !== this.lastHeldEpoch) this.loadLimiters.clear();
      this.lastHeldEpoch = epoch;
    }
    this.heldEpoch = epoch;
  }

  private async runPass(epoch: number): Promise<void> {
    this.registry.syncWithListing(epoch);
    await this.registry.refreshAllReports();
    for (const service of this.environment.listServices()) {
      this.sampleDemand(service);
      if (this.checkCanSendOrders()) this.planService(service);
    }
    this.registry.publishAllHoldings(epoch);
  }

  /**
   * Samples the demand. Until there is traffic, the demand is estimated from
   * what the engines hold.
   */
  private sampleDemand({name, models, slots}: EngineService): void {
    const demand = this.demandTrackerOf(name);
    const entries = this.registry.entriesOfService(name);
    const samples = models.map(model => ({
      entry: `${name}/${model.name}`,
      concurrency: this.environment.countRequests(name, model.name),
    }));
    if (!entries.every(({holdings}) => holdings.hasReport)) return;
    for (const [index, {entry}] of samples.entries()) {
      const holders = entries.filter(({holdings}) =>
        holdings.holdsModel(models[index].name),
      );
      demand.assumeInitial(entry, this.initialDemand(slots, holders.length));
    }
    if (samples.some(({concurrency}) => concurrency > 0)) {
      demand.recordSamples(samples);
    }
  }

  /** Initial demand for a model: more holders suggest more past demand. */
  private initialDemand(slots: number, holders: number): number {
    const {initialDemandShare, replicaTargetUtilization} = this.settings;
    return (
      Math.max(0, holders - 1) *
      initialDemandShare *
      replicaTargetUtilization *
      slots
    );
  }

  private demandTrackerOf(service: string): DemandTracker {
    const existing = this.demandTrackers.get(service);
    if (existing) return existing;
    const demand = new DemandTracker(
      this.settings.shortWindowMilliseconds,
      this.settings.longWindowMilliseconds,
    );
    this.demandTrackers.set(service, demand);
    return demand;
  }

  private planService(service: EngineService): void {
    this.processPendingEvictions(service);
    const entries = this.registry.entriesOfService(service.name);
    // Until its first report an engine would be taken for empty.
    const areHoldingsKnown = entries.every(
      ({holdings, isReportFailing}) => holdings.hasReport || isReportFailing,
    );
    if (!areHoldingsKnown) return;
    const models = service.models.map(model =>
      this.plannedModel(service.name, model),
    );
    const settings = {...this.settings, slots: service.slots};
    // Without the engines that are leaving, so that their models are loaded
    // elsewhere before these engines stop.
    const engines = entries
      .filter(({listed}) => listed.isReady)
      .map(entry => this.registry.toPlannedEngine(entry));
    for (const move of planModelMoves(models, engines, settings)) {
      const entry = this.registry.get(move.engineId);
      if (!entry) continue;
      const [evicted] = move.evicted;
      if (evicted !== undefined) {
        entry.pendingEviction = {
          model: evicted,
          replacement: move.model,
          startedAtMilliseconds: performance.now(),
        };
      } else {
        this.loadModel(service, entry, move);
      }
    }
  }

  private plannedModel(
    service: string,
    catalogued: CataloguedModel,
  ): PlannedModel {
    const {name} = catalogued;
    const entry = `${service}/${name}`;
    const demand = this.demandTrackerOf(service);
    return {
      ...catalogued,
      expectedDemand: demand.expectedConcurrency(entry),
      peakDemand: demand.recentPeak(entry),
      queuedRequests: this.environment.countQueuedRequests(service, name),
    };
  }

  /** Unloads models that all nodes know to be withdrawn; loads replacements. */
  private processPendingEvictions(service: EngineService): void {
    for (const entry of this.registry.entriesOfService(service.name)) {
      const {pendingEviction, holdings} = entry;
      if (!pendingEviction) continue;
      if (!holdings.holdsModel(pendingEviction.model)) {
        this.loadReplacement(service, entry, pendingEviction.replacement);
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

  /** Loads the replacement; if that is not possible, the next pass replans. */
  private loadReplacement(
    service: EngineService,
    entry: EngineEntry,
    replacement: string,
  ): void {
    const {holdings} = entry;
    if (holdings.isBusy || !holdings.isUpToDate) return;
    entry.pendingEviction = undefined;
    this.loadModel(service, entry, {model: replacement, gain: 0});
  }

  private loadModel(
    service: EngineService,
    entry: EngineEntry,
    {model, gain}: Pick<ModelMove, 'model' | 'gain'>,
  ): void {
    const {holdings, listed} = entry;
    if (holdings.findModelLoadBlocker(model) !== undefined) return;
    const hasLocalCopy =
      listed.modelsInMemory.has(model) || listed.modelsOnDisk.has(model);
    if (!hasLocalCopy) {
      const limiter = this.loadLimiterOf(service);
      if (limiter.availableLoads(this.countModelLoads(service)) < 1) return;
      limiter.recordStarted(1);
    }
    void this.orderSender.send(entry, OrderKind.LOAD, model, undefined, gain);
  }

  /** Model loads in progress on the engines of a service. */
  private countModelLoads({name}: EngineService): number {
    return this.registry
      .entriesOfService(name)
      .filter(({holdings}) => holdings.loadingModel !== undefined).length;
  }

  private loadLimiterOf(service: EngineService): LoadRateLimiter {
    const existing = this.loadLimiters.get(service.name);
    if (existing) return existing;
    const limiter = new LoadRateLimiter(
      service.storeLoadsPerSecond * STORE_RATE_SHARE,
      maximumConcurrentStoreLoads(service),
      this.settings.storeLoadBurst,
      0,
    );
    this.loadLimiters.set(service.name, limiter);
    return limiter;
  }

  /**
   * The engine that holds or is loading a model, and the time until the model
   * is usable. Without such an engine, the time of a load from the weight
   * store.
   */
  private expectModelHolding(
    serviceName: string,
    model: string,
  ): ExpectedHolding | undefined {
    const service = this.registry.serviceNamed(serviceName);
    const catalogued = service.models.find(({name}) => name === model);
    if (!catalogued) return undefined;
    const entries = this.registry
      .entriesOfService(serviceName)
      .filter(({listed}) => listed.isReady);
    const holdingEntry = entries.find(({holdings}) =>
      holdings.holdsModel(model),
    );
    if (holdingEntry) return expectedHoldingAt(holdingEntry, 0);
    const loadingEntry = entries.find(
      ({holdings}) => holdings.loadingModel === model,
    );
    if (loadingEntry) {
      return expectedHoldingAt(
        loadingEntry,
        expectedLoadMilliseconds(catalogued, loadingEntry.listed),
      );
    }
    return expectedHoldingAt(undefined, catalogued.storeLoadMilliseconds);
  }
}
