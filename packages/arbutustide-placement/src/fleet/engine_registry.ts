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
export interface Closing {
  readonly model: string;
  /** The model it makes room for. */
  readonly successor: string;
  readonly sinceMilliseconds: number;
}

/** One engine with what is known of it and what is going on there. */
export interface EngineEntry {
  listed: ListedEngine;
  readonly book: EngineBook;
  closing: Closing | undefined;
  isReportFailing: boolean;
  /** Models that the nodes were last told to take requests there. */
  openModels: string;
  /** The report that is asked for again after a failure. */
  retry: Promise<void> | undefined;
  /** Orders to one engine go one after another. */
  turn: Promise<unknown>;
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
const NO_SERVICE: Omit<EngineService, 'name'> = {
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
    private readonly orders: EngineOrders,
    private readonly surroundings: FleetSurroundings,
    private readonly settings: EngineRegistrySettings,
  ) {}

  get(id: string): EngineEntry | undefined {
    return this.entries.get(id);
  }

  ofService(service: string): EngineEntry[] {
    return [...this.entries.values()].filter(
      ({listed}) => listed.service === service,
    );
  }

  service(name: string): EngineService {
    for (const service of this.surroundings.services()) {
      if (service.name === name) return service;
    }
    return {name, ...NO_SERVICE};
  }

  /** Forgets all engines, and takes back what the nodes were told. */
  clear(epoch: number): void {
    for (const {listed} of this.entries.values()) {
      this.surroundings.publish(listed, undefined, epoch);
    }
    this.entries.clear();
  }

  /** Takes the platform's list; a process that is gone is forgotten. */
  follow(epoch: number): void {
    const listed = new Map<string, ListedEngine>();
    for (const engine of this.surroundings.engines()) {
      listed.set(engine.id, engine);
    }
    for (const [id, entry] of this.entries) {
      const now = listed.get(id);
      const isSame =
        now?.startedAt === entry.listed.startedAt &&
        now.address === entry.listed.address;
      if (isSame) continue;
      this.surroundings.publish(entry.listed, undefined, epoch);
      this.entries.delete(id);
      if (now) this.entries.set(id, this.newEntry(now, entry));
    }
    for (const engine of listed.values()) {
      const known = this.entries.get(engine.id);
      if (known) known.listed = engine;
      else this.entries.set(engine.id, this.newEntry(engine, undefined));
    }
  }

  /**
   * Reads all reports that are too old to plan with. An engine that failed to
   * report is asked again, but nothing waits for its answer.
   */
  async refreshAll(): Promise<void> {
    const refreshes: Promise<void>[] = [];
    for (const entry of this.entries.values()) {
      if (entry.isReportFailing) this.retryReport(entry);
      else refreshes.push(this.refresh(entry));
    }
    await Promise.all(refreshes);
  }

  /** Reads an engine's report if the last one is too old to plan with. */
  async refresh(entry: EngineEntry): Promise<void> {
    const {book, listed} = entry;
    const {reportAgeMilliseconds, busyReportAgeMilliseconds} = this.settings;
    const allowed = book.isBusy
      ? busyReportAgeMilliseconds
      : reportAgeMilliseconds;
    if (book.isKnown && book.reportAgeMilliseconds < allowed) return;
    const state = await this.orders.report(listed);
    if (state.ok) book.takeReport(state.val);
    if (state.ok !== entry.isReportFailing) return;
    entry.isReportFailing = !state.ok;
    this.surroundings.record({
      step: state.ok ? PlannerStep.REPORT_REGAINED : PlannerStep.REPORT_FAILED,
      upstream: listed.id,
      ...(!state.ok && {reason: state.val.message}),
    });
  }

  private retryReport(entry: EngineEntry): void {
    entry.retry ??= this.refresh(entry).finally(() => {
      entry.retry = undefined;
    });
  }

  /** An engine as the model plan sees it. */
  planned({book, listed, closing}: EngineEntry): PlannedEngine {
    const {reportAgeMilliseconds} = this.settings;
    return {
      id: listed.id,
      failureDomain: listed.failureDomain,
      freeMegabytes: book.freeMegabytes,
      models: book.heldModels.filter(model => model !== closing?.model),
      loading: book.loadingModel ?? closing?.successor,
      load: listed.inFlight / this.service(listed.service).slots,
      canTakeOrder:
        listed.isReady &&
        book.isKnown &&
        !book.isBusy &&
        closing === undefined &&
        book.reportAgeMilliseconds < 2 * reportAgeMilliseconds,
      modelsInMemory: listed.modelsInMemory,
      modelsOnDisk: listed.modelsOnDisk,
    };
  }

  /** Tells the nodes what each engine holds. */
  publishAll(epoch: number): void {
    let areModelsChanged = false;
    for (const entry of this.entries.values()) {
      const {book, listed, closing} = entry;
      if (!book.hasReport) continue;
      const held = [...book.usable(this.settings.adapterLoadMilliseconds)];
      const open = held.filter(
        name =>
          name !== closing?.model && !name.startsWith(`${closing?.model}/`),
      );
      this.surroundings.publish(listed, open, epoch);
      const models = open.filter(name => !name.includes('/')).join();
      areModelsChanged ||= models !== entry.openModels;
      entry.openModels = models;
    }
    if (areModelsChanged) this.surroundings.announce();
  }

  private newEntry(
    listed: ListedEngine,
    before: EngineEntry | undefined,
  ): EngineEntry {
    const book =
      before?.book.successor(listed) ??
      new EngineBook(listed, () => this.service(listed.service));
    return {
      listed,
      book,
      closing: undefined,
      isReportFailing: false,
      openModels: '',
      retry: undefined,
      turn: Promise.resolve(),
    };
  }
}
