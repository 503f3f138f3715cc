import type {PlannerLease} from '../planner_lease.js';
import type {PlannerLeadership} from '../planner_leadership.js';
import type {AdapterLoaderSettings} from './adapter_loader.js';
import type {EngineRegistrySettings} from './engine_registry.js';
import type {ExpectedHolding, RequestedHolding} from './expected_holding.js';
import type {EngineClient} from './engine_client.js';
import type {EnginePlannerEnvironment} from './engine_planner_environment.js';
import type {ModelDemandSettings} from './model_demand.js';
import type {ModelLoaderSettings} from './model_loader.js';

import {delay, SuspensionDetector} from '@arbutustide/errors';

import {AdapterLoader} from './adapter_loader.js';
import {EngineRegistry} from './engine_registry.js';
import {expectedHoldingAt} from './expected_holding.js';
import {expectedLoadMilliseconds} from './load_estimates.js';
import {PlannerStep} from './engine_planner_environment.js';
import {ModelDemand} from './model_demand.js';
import {ModelLoader} from './model_loader.js';
import {OrderSender} from './order_sender.js';
import {PassRecorder} from './pass_recorder.js';
import {
  MAXIMUM_PASS_PAUSE_MILLISECONDS,
  PASS_PAUSE_FACTOR,
  STANDBY_MILLISECONDS,
} from './planner_constants.js';
import {UnloadedModels} from './unloaded_models.js';

/** Settings of the planner. */
export interface EnginePlannerSettings
  extends
    ModelLoaderSettings,
    ModelDemandSettings,
    EngineRegistrySettings,
    AdapterLoaderSettings {
  /** Name of this node, sent with its orders. */
  readonly holder: string;
  /** Pause between two planning passes. */
  readonly planningIntervalMilliseconds: number;
  /** Clock drift above which this process counts as suspended. */
  readonly suspensionMilliseconds: number;
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
  private readonly demand: ModelDemand;
  private readonly modelLoader: ModelLoader;
  private readonly unloaded = new UnloadedModels();
  private readonly passRecorder: PassRecorder;
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
      recordEvent: event => {
        this.passRecorder.recordOrder();
        environment.recordEvent(event);
      },
    });
    this.demand = new ModelDemand(
      this.registry,
      this.unloaded,
      environment,
      settings,
    );
    this.modelLoader = new ModelLoader(
      this.registry,
      this.orderSender,
      this.demand,
      settings,
    );
    this.passRecorder = new PassRecorder(this.unloaded, passes =>
      environment.recordEvent({step: PlannerStep.PASSES, passes}),
    );
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
        pause = this.runPass(this.heldEpoch);
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
    this.passRecorder.reset();
    const {recordEvent} = this.environment;
    if (epoch === undefined) {
      recordEvent({step: PlannerStep.LEASE_LOST, epoch: this.heldEpoch ?? 0});
      this.registry.clear(this.heldEpoch ?? 0);
    } else {
      recordEvent({step: PlannerStep.LEASE_GAINED, epoch});
      // Recent loads of a predecessor are unknown. New limiters therefore start
      // without tokens.
      if (epoch !== this.lastHeldEpoch) this.modelLoader.resetLimiters();
      this.lastHeldEpoch = epoch;
    }
    this.heldEpoch = epoch;
  }

  /**
   * Plans with what is known; reports that are due come for a later pass.
   *
   * @return pause until the next pass, in milliseconds.
   */
  private runPass(epoch: number): number {
    const startedAt = performance.now();
    this.registry.syncWithListing(epoch);
    this.registry.refreshDueReports();
    for (const service of this.environment.listServices()) {
      this.demand.sample(service);
      if (this.checkCanSendOrders()) this.modelLoader.plan(service);
    }
    this.registry.publishAllHoldings(epoch);
    this.recordUnloadedModels();
    const pause = Math.max(
      this.settings.planningIntervalMilliseconds,
      Math.min(
        PASS_PAUSE_FACTOR * (performance.now() - startedAt),
        MAXIMUM_PASS_PAUSE_MILLISECONDS,
      ),
    );
    this.passRecorder.recordPass(startedAt, pause);
    return pause;
  }

  private recordUnloadedModels(): void {
    const services = [...this.environment.listServices()];
    const unloaded = services.flatMap(service => [
      ...this.modelLoader.unloadedModels(service),
    ]);
    const isHeld = (service: string, model: string) =>
      this.registry
        .entriesOfService(service)
        .some(({holdings}) => holdings.holdsModel(model));
    for (const {service, model, waitedMilliseconds} of this.unloaded.update(
      unloaded,
      isHeld,
    )) {
      this.environment.recordEvent({
        step: PlannerStep.MODEL_LOADED,
        service,
        model,
        waitedMilliseconds: Math.round(waitedMilliseconds),
      });
    }
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
