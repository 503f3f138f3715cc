import type {PlannerLease} from '../planner_lease.js';
import type {PlannerTenure} from '../planner_tenure.js';
import type {AdapterLoaderSettings} from './adapter_loader.js';
import type {EngineEntry, EngineRegistrySettings} from './engine_registry.js';
import type {ExpectedHolding} from './expected_holding.js';
import type {EngineOrders} from './engine_orders.js';
import type {
  CataloguedModel,
  EngineService,
  FleetSurroundings,
  ListedEngine,
} from './fleet_surroundings.js';
import type {ModelMove, ModelPlanSettings, PlannedModel} from './model_plan.js';

import {delay} from '@arbutustide/errors';
import {OrderKind} from '@arbutustide/upstream';

import {DemandTracker} from '../demand_tracker.js';
import {LoadAllowance} from '../load_allowance.js';
import {AdapterLoader} from './adapter_loader.js';
import {EngineRegistry} from './engine_registry.js';
import {expectedAt} from './expected_holding.js';
import {PlannerStep} from './fleet_surroundings.js';
import {planModels} from './model_plan.js';
import {OrderSender} from './order_sender.js';
import {SuspensionGuard} from './suspension_guard.js';

/** What the planner may do, and how fast. */
export interface FleetPlannerSettings
  extends ModelPlanSettings, EngineRegistrySettings, AdapterLoaderSettings {
  /** Name under which orders are given. */
  readonly holder: string;
  /** Time between two passes. */
  readonly intervalMilliseconds: number;
  /** Drift between the clocks that means this process stood still. */
  readonly suspensionMilliseconds: number;
  /** Time after which nodes have heard that a model takes no new requests. */
  readonly closeMilliseconds: number;
  /** Demand is averaged over the shorter window as it rises. */
  readonly shortWindowMilliseconds: number;
  readonly longWindowMilliseconds: number;
  /**
   * Demand assumed at first for each further engine that holds a model, as a
   * part of what one replica serves well.
   */
  readonly assumedShare: number;
  /** Loads from the weight store that may begin at one moment. */
  readonly storeLoadBurst: number;
}

/** Part of the weight store's rate that is used; late orders take the rest. */
const STORE_RATE_SHARE = 0.95;
/**
 * Decides what each engine holds and orders it, while this node has the lease.
 * A node that has just gained it waits first until the orders of the holder
 * before it lie a whole lease behind.
 */
export class FleetPlanner {
  private readonly registry: EngineRegistry;
  private readonly sender: OrderSender;
  private readonly adapters: AdapterLoader;
  private readonly allowances = new Map<string, LoadAllowance>();
  /** Demand for the models of each service. */
  private readonly demands = new Map<string, DemandTracker>();
  private readonly guard: SuspensionGuard;
  private heldEpoch: number | undefined;
  private lastEpoch = 0;

  constructor(
    private readonly lease: PlannerLease,
    private readonly tenure: PlannerTenure,
    orders: EngineOrders,
    private readonly surroundings: FleetSurroundings,
    private readonly settings: FleetPlannerSettings,
  ) {
    this.registry = new EngineRegistry(orders, surroundings, settings);
    this.guard = new SuspensionGuard(settings.suspensionMilliseconds);
    this.sender = new OrderSender(lease, orders, {
      holder: settings.holder,
      mayOrder: () => this.checkMayOrder(),
      record: decision => surroundings.record(decision),
    });
    this.adapters = new AdapterLoader(
      this.registry,
      this.sender,
      surroundings,
      settings,
    );
  }

  /**
   * Whether this node may give orders at this moment. A process that stood
   * still must renew its lease first.
   */
  checkMayOrder(): boolean {
    if (this.guard.check()) this.lease.distrust();
    return (
      this.tenure.checkActive() &&
      this.heldEpoch === this.tenure.epoch &&
      this.tenure.isSettled
    );
  }

  /** Plans until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.followLease();
      if (this.heldEpoch !== undefined) await this.pass(this.heldEpoch);
      await delay(this.settings.intervalMilliseconds, signal);
    }
  }

  /**
   * Has a model or adapter held by some engine.
   *
   * @return where and when, or undefined when it cannot be had.
   */
  async request(
    service: string,
    model: string,
    adapter: string | undefined,
  ): Promise<ExpectedHolding | undefined> {
    if (!this.checkMayOrder()) return undefined;
    if (adapter === undefined) return this.expectedModel(service, model);
    const wanted = {model, adapter};
    const entries = this.registry.ofService(service);
    const isModelHeld = entries.some(({book}) => book.holdsModel(model));
    return isModelHeld
      ? this.adapters.load(service, wanted)
      : this.expectedModel(service, model);
  }

  private followLease(): void {
    const epoch = this.tenure.checkActive() ? this.tenure.epoch : undefined;
    if (epoch === this.heldEpoch) return;
    const {record} = this.surroundings;
    if (epoch === undefined) {
      record({step: PlannerStep.LEASE_LOST, epoch: this.heldEpoch ?? 0});
      this.registry.clear(this.heldEpoch ?? 0);
    } else {
      record({step: PlannerStep.LEASE_GAINED, epoch});
      // The loads that the holder before began last are not known.
      if (epoch !== this.lastEpoch) this.allowances.clear();
      this.lastEpoch = epoch;
    }
    this.heldEpoch = epoch;
  }

  private async pass(epoch: number): Promise<void> {
    this.registry.follow(epoch);
    await this.registry.refreshAll();
    for (const service of this.surroundings.services()) {
      this.sampleDemand(service);
      if (this.checkMayOrder()) this.planService(service);
    }
    this.registry.publishAll(epoch);
  }

  /** Demand before any traffic is read off what the engines hold at first. */
  private sampleDemand({name, models, slots}: EngineService): void {
    const demand = this.demandOf(name);
    const entries = this.registry.ofService(name);
    const samples = models.map(model => ({
      entry: `${name}/${model.name}`,
      concurrency: this.surroundings.demand(name, model.name),
    }));
    if (!entries.every(({book}) => book.hasReport)) return;
    for (const [index, {entry}] of samples.entries()) {
      const holders = entries.filter(({book}) =>
        book.holdsModel(models[index].name),
      );
      demand.assume(entry, this.assumedDemand(slots, holders.length));
    }
    if (samples.some(({concurrency}) => concurrency > 0)) {
      demand.sample(samples);
    }
  }

  /** The more engines hold a model at first, the more it was in demand. */
  private assumedDemand(slots: number, holders: number): number {
    const {assumedShare, replicaShare} = this.settings;
    return Math.max(0, holders - 1) * assumedShare * replicaShare * slots;
  }

  private demandOf(service: string): DemandTracker {
    const known = this.demands.get(service);
    if (known) return known;
    const demand = new DemandTracker(
      this.settings.shortWindowMilliseconds,
      this.settings.longWindowMilliseconds,
    );
    this.demands.set(service, demand);
    return demand;
  }

  private planService(service: EngineService): void {
    this.finishClosings(service);
    const entries = this.registry.ofService(service.name);
    // Holdings that are not known yet would be taken for none.
    const isKnown = entries.every(
      ({book, isReportFailing}) => book.hasReport || isReportFailing,
    );
    if (!isKnown) return;
    const models = service.models.map(model =>
      this.plannedModel(service.name, model),
    );
    const settings = {...this.settings, slots: service.slots};
    // What a leaving engine holds must be held elsewhere before it is gone.
    const engines = entries
      .filter(({listed}) => listed.isReady)
      .map(entry => this.registry.planned(entry));
    for (const move of planModels(models, engines, settings)) {
      const entry = this.registry.get(move.engineId);
      if (!entry) continue;
      const [evicted] = move.evicted;
      if (evicted !== undefined) {
        entry.closing = {
          model: evicted,
          successor: move.model,
          sinceMilliseconds: performance.now(),
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
    const demand = this.demandOf(service);
    return {
      ...catalogued,
      demand: demand.expected(entry),
      rememberedDemand: demand.remembered(entry),
      waiting: this.surroundings.waiting(service, name),
    };
  }

  /** Unloads models of which all nodes know by now that they are closing. */
  private finishClosings(service: EngineService): void {
    for (const entry of this.registry.ofService(service.name)) {
      const {closing, book} = entry;
      if (!closing) continue;
      if (!book.holdsModel(closing.model)) {
        this.finishClosing(service, entry, closing.successor);
        continue;
      }
      const age = performance.now() - closing.sinceMilliseconds;
      if (age < this.settings.closeMilliseconds) continue;
      if (book.isBusy || !book.isKnown) continue;
      void this.sender.send(entry, OrderKind.UNLOAD, closing.model, undefined);
    }
  }

  /** Loads what room was made for; the plan decides anew if it must wait. */
  private finishClosing(
    service: EngineService,
    entry: EngineEntry,
    successor: string,
  ): void {
    const {book} = entry;
    if (book.isBusy || !book.isKnown) return;
    entry.closing = undefined;
    this.loadModel(service, entry, {model: successor, gain: 0});
  }

  private loadModel(
    service: EngineService,
    entry: EngineEntry,
    {model, gain}: Pick<ModelMove, 'model' | 'gain'>,
  ): void {
    const {book, listed} = entry;
    if (book.whyNotLoad(model) !== undefined) return;
    const isOwnCopy =
      listed.modelsInMemory.has(model) || listed.modelsOnDisk.has(model);
    if (!isOwnCopy) {
      const allowance = this.allowanceOf(service);
      if (allowance.available(this.loadsUnderway(service)) < 1) return;
      allowance.take(1);
    }
    void this.sender.send(entry, OrderKind.LOAD, model, undefined, gain);
  }

  private loadsUnderway({name}: EngineService): number {
    return this.registry
      .ofService(name)
      .filter(({book}) => book.loadingModel !== undefined).length;
  }

  private allowanceOf(service: EngineService): LoadAllowance {
    const known = this.allowances.get(service.name);
    if (known) return known;
    const allowance = new LoadAllowance(
      service.storeLoadsPerSecond * STORE_RATE_SHARE,
      loadsAtOnce(service),
      this.settings.storeLoadBurst,
      this.lease.hadNoHolder ? undefined : 0,
    );
    this.allowances.set(service.name, allowance);
    return allowance;
  }

  /** When a model that is held or on its way will be usable. */
  private expectedModel(
    serviceName: string,
    model: string,
  ): ExpectedHolding | undefined {
    const service = this.registry.service(serviceName);
    const described = service.models.find(({name}) => name === model);
    if (!described) return undefined;
    const entries = this.registry
      .ofService(serviceName)
      .filter(({listed}) => listed.isReady);
    const holder = entries.find(({book}) => book.holdsModel(model));
    if (holder) return expectedAt(holder, 0);
    const loader = entries.find(({book}) => book.loadingModel === model);
    if (loader) {
      return expectedAt(loader, loadMilliseconds(described, loader.listed));
    }
    return expectedAt(undefined, described.storeLoadMilliseconds);
  }
}

/** Loads at once that use the weight store's rate in full. */
function loadsAtOnce({models, storeLoadsPerSecond}: EngineService): number {
  const total = models.reduce(
    (sum, {storeLoadMilliseconds}) => sum + storeLoadMilliseconds,
    0,
  );
  const meanSeconds = total / Math.max(1, models.length) / 1_000;
  return Math.max(1, Math.floor(storeLoadsPerSecond * meanSeconds));
}

function loadMilliseconds(
  model: CataloguedModel,
  {modelsInMemory, modelsOnDisk}: ListedEngine,
): number {
  if (modelsInMemory.has(model.name)) return model.memoryLoadMilliseconds;
  if (modelsOnDisk.has(model.name)) return model.diskLoadMilliseconds;
  return model.storeLoadMilliseconds;
}
