import type {PlannerLease} from '../planner_lease.js';
import type {AdapterPlan} from './adapter_plan.js';
import type {EngineEntry, EngineRegistrySettings} from './engine_registry.js';
import type {AdapterName, EngineOrders} from './engine_orders.js';
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
import {planAdapter} from './adapter_plan.js';
import {EngineRegistry} from './engine_registry.js';
import {PlannerStep} from './fleet_surroundings.js';
import {planModels} from './model_plan.js';
import {OrderSender} from './order_sender.js';
import {SuspensionGuard} from './suspension_guard.js';

/** What the planner may do, and how fast. */
export interface FleetPlannerSettings
  extends ModelPlanSettings, EngineRegistrySettings {
  /** Name under which orders are given. */
  readonly holder: string;
  /** Time between two passes. */
  readonly intervalMilliseconds: number;
  /** Drift between the clocks that means this process stood still. */
  readonly suspensionMilliseconds: number;
  /** Time after which nodes have heard that a model takes no new requests. */
  readonly closeMilliseconds: number;
  /** Least idle time of an adapter that makes place for another. */
  readonly adapterIdleMilliseconds: number;
  /** Demand is averaged over the shorter window as it rises. */
  readonly shortWindowMilliseconds: number;
  readonly longWindowMilliseconds: number;
  /** Requests at once assumed for each engine that holds a model at first. */
  readonly assumedDemand: number;
  /** Loads at once from the weight store that keep their full speed. */
  readonly storeLoadsAtOnce: number;
}

/** Part of the weight store's rate that is used; late orders take the rest. */
const STORE_RATE_SHARE = 0.95;
/** Time until a place for an adapter is looked for again, in milliseconds. */
const PLACE_RETRY_MILLISECONDS = 150;

/** Where a model or adapter will be held, and when. */
export interface ExpectedHolding {
  /** Empty while the engine has not been chosen. */
  readonly upstreamId: string;
  readonly readyInMilliseconds: number;
}

/**
 * Decides what each engine holds and orders it, while this node has the lease.
 * A node that has just gained it waits first until the orders of the holder
 * before it lie a whole lease behind.
 */
export class FleetPlanner {
  private readonly registry: EngineRegistry;
  private readonly sender: OrderSender;
  private readonly allowances = new Map<string, LoadAllowance>();
  /** Demand for the models of each service. */
  private readonly demands = new Map<string, DemandTracker>();
  private readonly adapterAskedAt = new Map<string, number>();
  private readonly guard: SuspensionGuard;
  private heldEpoch: number | undefined;
  private ordersFromMilliseconds = Infinity;

  constructor(
    private readonly lease: PlannerLease,
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
  }

  /**
   * Whether this node may give orders at this moment. A process that stood
   * still must renew its lease first.
   */
  checkMayOrder(): boolean {
    if (this.guard.check()) this.lease.distrust();
    return (
      this.lease.isHeld &&
      this.heldEpoch === this.lease.epoch &&
      performance.now() >= this.ordersFromMilliseconds
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
    return this.loadAdapter(service, {model, adapter});
  }

  private followLease(): void {
    const epoch = this.lease.isHeld ? this.lease.epoch : undefined;
    if (epoch === this.heldEpoch) return;
    const {record} = this.surroundings;
    if (epoch === undefined) {
      record({step: PlannerStep.LEASE_LOST, epoch: this.heldEpoch ?? 0});
      this.registry.clear(this.heldEpoch ?? 0);
    } else {
      record({step: PlannerStep.LEASE_GAINED, epoch});
      this.ordersFromMilliseconds =
        performance.now() + this.lease.settleMilliseconds;
      this.allowances.clear();
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
  private sampleDemand({name, models}: EngineService): void {
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
      const assumed = holders.length * this.settings.assumedDemand;
      demand.assume(entry, assumed);
    }
    if (samples.some(({concurrency}) => concurrency > 0)) {
      demand.sample(samples);
    }
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
    {name, megabytes}: CataloguedModel,
  ): PlannedModel {
    const entry = `${service}/${name}`;
    const demand = this.demandOf(service);
    return {
      name,
      megabytes,
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
      this.settings.storeLoadsAtOnce,
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
    if (holder) return expected(holder, 0);
    const loader = entries.find(({book}) => book.loadingModel === model);
    if (loader) {
      return expected(loader, loadMilliseconds(described, loader.listed));
    }
    return expected(undefined, described.storeLoadMilliseconds);
  }

  private async loadAdapter(
    service: string,
    wanted: AdapterName,
  ): Promise<ExpectedHolding | undefined> {
    this.adapterAskedAt.set(useKey(service, wanted), performance.now());
    const entries = this.registry.ofService(service);
    const {adapterLoadMilliseconds} = this.settings;
    const holder = entries.find(
      ({book, listed}) => listed.isReady && book.hasAdapter(wanted),
    );
    if (holder) return expected(holder, adapterLoadMilliseconds);
    if (!entries.some(({book}) => book.holdsModel(wanted.model))) {
      return this.expectedModel(service, wanted.model);
    }
    const plan = this.planAdapter(service, wanted, entries);
    const entry = plan && this.registry.get(plan.book.engine.id);
    if (!plan || !entry) {
      this.surroundings.record({step: PlannerStep.NO_PLACE, ...wanted});
      return expected(undefined, PLACE_RETRY_MILLISECONDS);
    }
    const {evicted} = plan;
    if (evicted) {
      await this.sender.send(
        entry,
        OrderKind.UNLOAD,
        evicted.model,
        evicted.adapter,
      );
      await this.registry.refresh(entry);
    }
    await this.sender.send(entry, OrderKind.LOAD, wanted.model, wanted.adapter);
    return entry.book.hasAdapter(wanted)
      ? expected(entry, adapterLoadMilliseconds)
      : expected(undefined, PLACE_RETRY_MILLISECONDS);
  }

  private planAdapter(
    service: string,
    wanted: AdapterName,
    entries: readonly EngineEntry[],
  ): AdapterPlan | undefined {
    const candidates = entries.map(({book, listed, closing}) => ({
      book,
      isReady: listed.isReady && closing?.model !== wanted.model,
      inFlight: listed.inFlight,
    }));
    return planAdapter(wanted, candidates, {
      idleMilliseconds: name => this.idleMilliseconds(service, name),
      evictableAfterMilliseconds: this.settings.adapterIdleMilliseconds,
    });
  }

  private idleMilliseconds(service: string, name: AdapterName): number {
    const {model, adapter} = name;
    const key = useKey(service, name);
    const now = performance.now();
    if (this.surroundings.isAdapterInUse(service, model, adapter)) {
      this.adapterAskedAt.set(key, now);
    }
    return now - (this.adapterAskedAt.get(key) ?? -Infinity);
  }
}

function expected(
  entry: EngineEntry | undefined,
  readyInMilliseconds: number,
): ExpectedHolding {
  return {upstreamId: entry?.listed.id ?? '', readyInMilliseconds};
}

function useKey(service: string, {model, adapter}: AdapterName): string {
  return `${service}/${model}/${adapter}`;
}

function loadMilliseconds(
  model: CataloguedModel,
  {modelsInMemory, modelsOnDisk}: ListedEngine,
): number {
  if (modelsInMemory.has(model.name)) return model.memoryLoadMilliseconds;
  if (modelsOnDisk.has(model.name)) return model.diskLoadMilliseconds;
  return model.storeLoadMilliseconds;
}
