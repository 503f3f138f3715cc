import type {EngineClient} from './engine_client.js';
import type {
  EngineService,
  EnginePlannerEnvironment,
  ListedEngine,
} from './engine_planner_environment.js';
import type {PlannedEngine} from './model_plan.js';
import type {PendingEviction} from './pending_eviction.js';
import type {PendingModelOrder} from './pending_model_order.js';

import {EngineHoldingsTracker} from './engine_holdings_tracker.js';
import {PlannerStep} from './engine_planner_environment.js';
import {expectedLoadMilliseconds} from './load_estimates.js';
import {LoadAnnouncer} from './load_announcer.js';
import {expectedReplacement} from './pending_eviction.js';
import {orderedModel} from './pending_model_order.js';

/** A listed engine with its holdings and the operations in progress. */
export interface EngineEntry {
  listed: ListedEngine;
  readonly holdings: EngineHoldingsTracker;
  pendingEviction: PendingEviction | undefined;
  pendingModelOrder: PendingModelOrder | undefined;
  /** Whether the last attempt to read its report failed. */
  isReportFailing: boolean;
  /**
   * Whether its address refused the last call, so that the process has ended. The
   * platform lists it for some seconds more.
   */
  hasEnded: boolean;
  /** Models and adapters last published for the engine. */
  publishedEntries: readonly string[];
  /** The call that reads its report now, if one does. */
  pendingReport: Promise<void> | undefined;
  /** Resolves once all queued orders are answered; orders are sequential. */
  orderQueue: Promise<unknown>;
}

/** Maximum ages of reports, and the load time of adapters. */
export interface EngineRegistrySettings {
  /**
   * Age from which a report is read again. Models are loaded only while the
   * report is less than twice as old.
   */
  readonly maximumReportAgeMilliseconds: number;
  /** Age from which a report is read again while the engine is busy. */
  readonly maximumBusyReportAgeMilliseconds: number;
  /** The same while only a new order can change what the engine holds. */
  readonly maximumSettledReportAgeMilliseconds: number;
  /** Load time of an adapter while few others are being transferred. */
  readonly adapterLoadMilliseconds: number;
  /** Delay between withdrawing a model from the nodes and unloading it. */
  readonly evictionNoticeMilliseconds: number;
}

/** Time for which a request occupies an engine, to compare rates with slots. */
const ASSUMED_SERVICE_SECONDS = 1;

/** Default for a service without configuration; no load fits its engines. */
const UNCONFIGURED_SERVICE: Omit<EngineService, 'name'> = {
  weightMegabytes: 0,
  adapterSlots: 0,
  modelMegabytes: () => undefined,
  adapterMegabytes: () => 0,
  storeLoadsPerSecond: 0,
  slots: 1,
  models: [],
};

/** Registry of the engines, updated from the platform's list and reports. */
export class EngineRegistry {
  private readonly entries = new Map<string, EngineEntry>();
  private readonly loadAnnouncer: LoadAnnouncer;

  constructor(
    private readonly engineClient: EngineClient,
    private readonly environment: EnginePlannerEnvironment,
    private readonly settings: EngineRegistrySettings,
  ) {
    this.loadAnnouncer = new LoadAnnouncer(environment, settings);
  }

  get(id: string): EngineEntry | undefined {
    return this.entries.get(id);
  }

  /**
   * The engines of a service whose processes have not ended.
   *
   * @param softwareVersion undefined for the engines of all versions.
   */
  entriesOfService(service: string, softwareVersion?: string): EngineEntry[] {
    return [...this.entries.values()].filter(
      ({listed, hasEnded}) =>
        !hasEnded &&
        listed.service === service &&
        (softwareVersion === undefined ||
          listed.softwareVersion === softwareVersion),
    );
  }

  /** Models that some engine of a service holds. */
  heldModels(service: string): Set<string> {
    return new Set(
      this.entriesOfService(service).flatMap(({holdings}) => [
        ...holdings.heldModels,
      ]),
    );
  }

  /** Until its first report an engine would be taken for empty. */
  areHoldingsKnown(service: string): boolean {
    return this.entriesOfService(service).every(
      ({holdings, isReportFailing}) => holdings.hasReport || isReportFailing,
    );
  }

  /** The service with this name, or an empty one if it is not configured. */
  serviceNamed(name: string): EngineService {
    for (const service of this.environment.listServices()) {
      if (service.name === name) return service;
    }
    return {name, ...UNCONFIGURED_SERVICE};
  }

  /** Removes all engines and withdraws their published holdings. */
  clear(epoch: number): void {
    for (const {listed} of this.entries.values()) {
      this.environment.publishHoldings(listed, undefined, epoch);
    }
    this.entries.clear();
    this.loadAnnouncer.withdraw(epoch);
  }

  /** Adds newly listed engines; replaces or removes ended processes. */
  syncWithListing(epoch: number): void {
    const listed = new Map<string, ListedEngine>();
    for (const engine of this.environment.listEngines()) {
      listed.set(engine.id, engine);
    }
    for (const [id, entry] of this.entries) {
      const current = listed.get(id);
      const isSame =
        current?.startedAt === entry.listed.startedAt &&
        current.address === entry.listed.address;
      if (isSame) continue;
      this.environment.publishHoldings(entry.listed, undefined, epoch);
      this.entries.delete(id);
      if (current) this.entries.set(id, this.createEntry(current, entry));
    }
    for (const engine of listed.values()) {
      const existing = this.entries.get(engine.id);
      if (existing) existing.listed = engine;
      else this.entries.set(engine.id, this.createEntry(engine, undefined));
    }
  }

  /** Begins to read each report that is too old; does not wait for them. */
  refreshDueReports(): void {
    for (const entry of this.entries.values())
      if (this.isReportDue(entry)) void this.refreshReport(entry);
  }

  /** Reads an engine's report if the last one is too old. */
  refreshReport(entry: EngineEntry): Promise<void> {
    if (!this.isReportDue(entry)) return Promise.resolve();
    entry.pendingReport ??= this.fetchReport(entry).finally(() => {
      entry.pendingReport = undefined;
    });
    return entry.pendingReport;
  }

  private isReportDue(entry: EngineEntry): boolean {
    const {holdings, listed} = entry;
    if (!listed.acceptsCalls) return false;
    if (!holdings.isUpToDate) return true;
    const maximumAgeMilliseconds = holdings.isBusy
      ? this.settings.maximumBusyReportAgeMilliseconds
      : this.maximumIdleReportAge(entry);
    return (
      holdings.reportAgeMilliseconds >= maximumAgeMilliseconds &&
      !this.isLoadUnderWay(entry)
    );
  }

  /** Age from which the report of an engine that is not busy is read again. */
  private maximumIdleReportAge({
    holdings,
    isReportFailing,
    pendingEviction,
    pendingModelOrder,
  }: EngineEntry): number {
    const isSettled =
      holdings.isSettled &&
      !isReportFailing &&
      pendingEviction === undefined &&
      pendingModelOrder === undefined;
    return isSettled
      ? this.settings.maximumSettledReportAgeMilliseconds
      : this.settings.maximumReportAgeMilliseconds;
  }

  /** Whether a report would only show that a load has not ended. */
  isLoadUnderWay({holdings, listed}: EngineEntry): boolean {
    const {loadingModel, loadingMilliseconds = Infinity} = holdings;
    const model = this.serviceNamed(listed.service).models.find(
      ({name}) => name === loadingModel,
    );
    return (
      model !== undefined &&
      loadingMilliseconds < expectedLoadMilliseconds(model, listed)
    );
  }

  private async fetchReport(entry: EngineEntry): Promise<void> {
    const {holdings, listed} = entry;
    const report = await this.engineClient.fetchReport(listed);
    if (report.ok) holdings.applyReport(report.val);
    entry.hasEnded = report.err && report.val.isRefused;
    if (report.ok !== entry.isReportFailing) return;
    entry.isReportFailing = !report.ok;
    this.environment.recordEvent({
      step: report.ok ? PlannerStep.REPORT_REGAINED : PlannerStep.REPORT_FAILED,
      upstream: listed.id,
      ...(!report.ok && {reason: report.val.message}),
    });
  }

  /** Whether an engine can accept an order for a model now. */
  canAcceptOrder(entry: EngineEntry): boolean {
    const {holdings, listed, pendingEviction, pendingModelOrder} = entry;
    return (
      listed.isReady &&
      listed.acceptsCalls &&
      holdings.isUpToDate &&
      !holdings.isBusy &&
      pendingModelOrder === undefined &&
      pendingEviction === undefined &&
      holdings.reportAgeMilliseconds < 2 * this.maximumIdleReportAge(entry)
    );
  }

  /** Converts an entry to the input of the model plan. */
  toPlannedEngine(entry: EngineEntry): PlannedEngine {
    const {holdings, listed, pendingEviction, pendingModelOrder} = entry;
    const {slots} = this.serviceNamed(listed.service);
    const {requestsPerSecond = Infinity} = listed;
    return {
      id: listed.id,
      failureDomain: listed.failureDomain,
      freeMegabytes: holdings.freeMegabytes,
      models: holdings.heldModels.filter(
        model => model !== pendingEviction?.model,
      ),
      loadingModel:
        holdings.loadingModel ??
        orderedModel(pendingModelOrder) ??
        expectedReplacement(pendingEviction),
      utilization: listed.inFlight / slots,
      capacityShare: Math.min(
        1,
        (requestsPerSecond * ASSUMED_SERVICE_SECONDS) / slots,
      ),
      canAcceptOrder: this.canAcceptOrder(entry),
      pinnedModels: new Set(),
      modelsInMemory: listed.modelsInMemory,
      modelsOnDisk: listed.modelsOnDisk,
    };
  }

  /**
   * Publishes what each engine holds, without models that are about to be
   * unloaded, and what is expected to be held. Changes of models are broadcast at
   * once.
   */
  publishAllHoldings(epoch: number): void {
    let haveModelsChanged = false;
    for (const entry of this.entries.values()) {
      const {holdings, listed, pendingEviction} = entry;
      if (!holdings.hasReport) continue;
      const usable = [
        ...holdings.usableEntries(this.settings.adapterLoadMilliseconds),
      ];
      const accepting = pendingEviction
        ? withoutModel(usable, pendingEviction.model)
        : usable;
      const published = entry.publishedEntries;
      if (!areSameNames(accepting, published)) {
        haveModelsChanged ||= !areSameNames(
          namesOfModels(accepting),
          namesOfModels(published),
        );
        entry.publishedEntries = accepting;
      }
      this.environment.publishHoldings(listed, entry.publishedEntries, epoch);
    }
    this.loadAnnouncer.announce([...this.entries.values()], epoch);
    if (haveModelsChanged) this.environment.broadcastHoldings();
  }

  private createEntry(
    listed: ListedEngine,
    previous: EngineEntry | undefined,
  ): EngineEntry {
    const holdings =
      previous?.holdings.forNewProcess(listed) ??
      new EngineHoldingsTracker(listed, () =>
        this.serviceNamed(listed.service),
      );
    return {
      listed,
      holdings,
      pendingEviction: undefined,
      pendingModelOrder: undefined,
      isReportFailing: false,
      hasEnded: false,
      publishedEntries: [],
      pendingReport: undefined,
      orderQueue: Promise.resolve(),
    };
  }
}

/** Entries, as `MODEL` or `MODEL/ADAPTER`, without a model and its adapters. */
function withoutModel(entries: readonly string[], model: string): string[] {
  return entries.filter(
    name => name !== model && !name.startsWith(`${model}/`),
  );
}

function namesOfModels(entries: readonly string[]): string[] {
  return entries.filter(name => !name.includes('/'));
}

function areSameNames(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return (
    left.length === right.length &&
    left.every((name, index) => name === right[index])
  );
}
