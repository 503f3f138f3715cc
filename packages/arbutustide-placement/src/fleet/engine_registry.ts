import type {EngineOrders} from './engine_orders.js';
import type {
  EngineService,
  FleetSurroundings,
  ListedEngine,
} from './fleet_surroundings.js';
import type {PlannedEngine} from './model_plan.js';

import {EngineBook} from './engine_book.js';
import {PlannerStep} from './fleet_surroundings.js';

/** A model that is to make room, since when the nodes are told. */
export interface PendingEviction {
  readonly model: string;
  /** The model it makes room for. */
  readonly replacement: string;
  readonly startedAtMilliseconds: number;
}

/** One engine with what is known of it and what is going on there. */
export interface EngineEntry {
  listed: ListedEngine;
  readonly holdings: EngineBook;
  pendingEviction: PendingEviction | undefined;
  isReportFailing: boolean;
  /** Models that the nodes were last told to take requests there. */
  publishedModels: string;
  /** The report that is asked for again after a failure. */
  reportRetry: Promise<void> | undefined;
  /** Orders to one engine go one after another. */
  orderQueue: Promise<unknown>;
}

/** How old reports may be. */
export interface EngineRegistrySettings {
  /** Oldest report on which orders for models are based. */
  readonly reportAgeMilliseconds: number;
  /** The same while an engine is carrying out an order. */
  readonly busyReportAgeMilliseconds: number;
  /** Time an adapter takes to load where nothing hinders it. */
  readonly adapterLoadMilliseconds: number;
}

/** A service whose configuration is gone; nothing fits its engines. */
const UNCONFIGURED_SERVICE: Omit<EngineService, 'name'> = {
  weightMegabytes: 0,
  adapterPlaces: 0,
  modelMegabytes: () => undefined,
  adapterMegabytes: () => 0,
  storeLoadsPerSecond: 0,
  slots: 1,
  models: [],
};

/** The engines under the planner, kept up to date by list and reports. */
export class EngineRegistry {
  private readonly entries = new Map<string, EngineEntry>();

  constructor(
    private readonly engineClient: EngineOrders,
    private readonly environment: FleetSurroundings,
    private readonly settings: EngineRegistrySettings,
  ) {}

  get(id: string): EngineEntry | undefined {
    return this.entries.get(id);
  }

  entriesOfService(serviceNamed: string): EngineEntry[] {
    return [...this.entries.values()].filter(
      ({listed}) => listed.service === serviceNamed,
    );
  }

  service(name: string): EngineService {
    for (const service of this.environment.services()) {
      if (service.name === name) return service;
    }
    return {name, ...UNCONFIGURED_SERVICE};
  }

  /** Forgets all engines, and takes back what the nodes were told. */
  clear(epoch: number): void {
    for (const {listed} of this.entries.values()) {
      this.environment.publish(listed, undefined, epoch);
    }
    this.entries.clear();
  }

  /** Takes the platform's list; a process that is gone is forgotten. */
  syncWithListing(epoch: number): void {
    const listed = new Map<string, ListedEngine>();
    for (const engine of this.environment.engines()) {
      listed.set(engine.id, engine);
    }
    for (const [id, entry] of this.entries) {
      const current = listed.get(id);
      const isSame =
        current?.startedAt === entry.listed.startedAt &&
        current.address === entry.listed.address;
      if (isSame) continue;
      this.environment.publish(entry.listed, undefined, epoch);
      this.entries.delete(id);
      if (current) this.entries.set(id, this.createEntry(current, entry));
    }
    for (const engine of listed.values()) {
      const existing = this.entries.get(engine.id);
      if (existing) existing.listed = engine;
      else this.entries.set(engine.id, this.createEntry(engine, undefined));
    }
  }

  /**
   * Reads all reports that are too old to plan with. An engine that failed to
   * report is asked again, but nothing waits for its answer.
   */
  async refreshAllReports(): Promise<void> {
    const refreshes: Promise<void>[] = [];
    for (const entry of this.entries.values()) {
      if (entry.isReportFailing) this.retryReport(entry);
      else refreshes.push(this.refreshReport(entry));
    }
    await Promise.all(refreshes);
  }

  /** Reads an engine's report if the last one is too old to plan with. */
  async refreshReport(entry: EngineEntry): Promise<void> {
    const {holdings, listed} = entry;
    const {reportAgeMilliseconds, busyReportAgeMilliseconds} = this.settings;
    const maximumAgeMilliseconds = holdings.isBusy
      ? busyReportAgeMilliseconds
      : reportAgeMilliseconds;
    if (
      holdings.isUpToDate &&
      holdings.reportAgeMilliseconds < maximumAgeMilliseconds
    )
      return;
    const report = await this.engineClient.report(listed);
    if (report.ok) holdings.applyReport(report.val);
    if (report.ok !== entry.isReportFailing) return;
    entry.isReportFailing = !report.ok;
    this.environment.record({
      step: report.ok ? PlannerStep.REPORT_REGAINED : PlannerStep.REPORT_FAILED,
      upstream: listed.id,
      ...(!report.ok && {reason: report.val.message}),
    });
  }

  private retryReport(entry: EngineEntry): void {
    entry.reportRetry ??= this.refreshReport(entry).finally(() => {
      entry.reportRetry = undefined;
    });
  }

  /** An engine as the model plan sees it. */
  toPlannedEngine({
    holdings,
    listed,
    pendingEviction,
  }: EngineEntry): PlannedEngine {
    const {reportAgeMilliseconds} = this.settings;
    return {
      id: listed.id,
      failureDomain: listed.failureDomain,
      freeMegabytes: holdings.freeMegabytes,
      models: holdings.heldModels.filter(
        model => model !== pendingEviction?.model,
      ),
      loadingModel: holdings.loadingModel ?? pendingEviction?.replacement,
      utilization: listed.inFlight / this.service(listed.service).slots,
      canAcceptOrder:
        listed.isReady &&
        holdings.isUpToDate &&
        !holdings.isBusy &&
        pendingEviction === undefined &&
        holdings.reportAgeMilliseconds < 2 * reportAgeMilliseconds,
      modelsInMemory: listed.modelsInMemory,
      modelsOnDisk: listed.modelsOnDisk,
    };
  }

  /** Tells the nodes what each engine holds. */
  publishAllHoldings(epoch: number): void {
    let haveModelsChanged = false;
    for (const entry of this.entries.values()) {
      const {holdings, listed, pendingEviction} = entry;
      if (!holdings.hasReport) continue;
      const usable = [
        ...holdings.usableEntries(this.settings.adapterLoadMilliseconds),
      ];
      const accepting = usable.filter(
        name =>
          name !== pendingEviction?.model &&
          !name.startsWith(`${pendingEviction?.model}/`),
      );
      this.environment.publish(listed, accepting, epoch);
      const models = accepting.filter(name => !name.includes('/')).join();
      haveModelsChanged ||= models !== entry.publishedModels;
      entry.publishedModels = models;
    }
    if (haveModelsChanged) this.environment.announce();
  }

  private createEntry(
    listed: ListedEngine,
    previous: EngineEntry | undefined,
  ): EngineEntry {
    const holdings =
      previous?.holdings.forNewProcess(listed) ??
      new EngineBook(listed, () => this.service(listed.service));
    return {
      listed,
      holdings,
      pendingEviction: undefined,
      isReportFailing: false,
      publishedModels: '',
      reportRetry: undefined,
      orderQueue: Promise.resolve(),
    };
  }
}
