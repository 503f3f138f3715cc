import type {
  AdapterKey,
  EngineAddress,
  EngineReport,
  HoldingOrder,
} from './engine_client.js';

import {OrderKind} from '@arbutustide/upstream';

import {HoldingOrderAnswer} from './engine_client.js';

/** Capacity of one engine, and the sizes of the models and adapters. */
export interface EngineCapacity {
  /** Memory for the weights of models and adapters. */
  readonly weightMegabytes: number;
  /** Maximum number of loaded adapters, over all models. */
  readonly adapterSlots: number;
  /** Size of a model's weights; undefined if it is not in the catalogue. */
  readonly modelMegabytes: (model: string) => number | undefined;
  /** Size of one adapter of a model. */
  readonly adapterMegabytes: (model: string) => number;
}

/** Limit of the engine on adapters that are being transferred to it. */
const MAXIMUM_ADAPTERS_IN_TRANSIT = 4;

/**
 * Time after which an unanswered order has either been executed or never will
 * be.
 */
const MAXIMUM_ORDER_DELAY_MILLISECONDS = 15_000;

/** An order with the monotonic time at which its answer or error came. */
interface TimedOrder {
  readonly order: HoldingOrder;
  readonly recordedAtMilliseconds: number;
}

/**
 * Tracks the models and adapters that one engine holds, from its reports and
 * its answers to orders, and checks whether a load fits. An engine accepts at
 * most one order per sequence number. An order that fits the holdings at its
 * expected sequence therefore cannot exceed the engine's capacity, however late
 * it arrives.
 */
export class EngineHoldingsTracker {
  private sequence: number | undefined;
  private models = new Map<string, Set<string>>();
  private reportedInTransit: readonly AdapterKey[] = [];
  private isReportedBusy = false;
  private reportedAtMilliseconds = -Infinity;
  private isStale = true;
  private hasUnansweredOrder = false;
  /**
   * When an order that this planner does not know of may last have been on its
   * way; at first those of an earlier planner may be.
   */
  private unknownOrderAtMilliseconds = performance.now();
  /** Accepted orders whose effect the last report does not show yet. */
  private acceptedSinceReport: TimedOrder[] = [];
  /** Loads sent to this process that have no answer. */
  private unansweredLoads: TimedOrder[] = [];
  /** Unanswered loads sent to earlier processes with the same id. */
  private loadsToPreviousProcess: TimedOrder[] = [];

  constructor(
    readonly engine: EngineAddress,
    private readonly capacity: () => EngineCapacity,
  ) {}

  /**
   * Creates the tracker for a restarted engine that kept its id. The sequence
   * of the new process starts at zero again, so it may accept a delayed order
   * that was meant for the previous process. Capacity is reserved for such
   * orders until none can arrive anymore.
   */
  forNewProcess(engine: EngineAddress): EngineHoldingsTracker {
    const holdings = new EngineHoldingsTracker(engine, this.capacity);
    holdings.loadsToPreviousProcess = [
      ...this.loadsToPreviousProcess,
      ...this.unansweredLoads,
    ];
    return holdings;
  }

  /** Age of the last applied report, in milliseconds. */
  get reportAgeMilliseconds(): number {
    return performance.now() - this.reportedAtMilliseconds;
  }

  /** Whether sequence and holdings are known well enough to create orders. */
  get isUpToDate(): boolean {
    return this.sequence !== undefined && !this.isStale;
  }

  /** Whether an order got no answer since the last report. */
  get isOrderOutcomeUnknown(): boolean {
    return this.hasUnansweredOrder;
  }

  /** Whether any report has been applied. */
  get hasReport(): boolean {
    return this.sequence !== undefined;
  }

  /** Whether a model is being loaded or unloaded. */
  get isBusy(): boolean {
    return (
      this.isReportedBusy ||
      this.acceptedSinceReport.some(({order}) => isModelOrder(order))
    );
  }

  /**
   * Whether the report shows the effect of all orders and no other may arrive, so
   * that only a new order changes the holdings.
   */
  get isSettled(): boolean {
    return (
      this.isUpToDate &&
      !this.isReportedBusy &&
      this.reportedInTransit.length === 0 &&
      this.acceptedSinceReport.length === 0 &&
      this.unansweredLoads.length === 0 &&
      performance.now() - this.unknownOrderAtMilliseconds >=
        MAXIMUM_ORDER_DELAY_MILLISECONDS
    );
  }

  /** Models held, including those being unloaded. */
  get heldModels(): readonly string[] {
    return [...this.models.keys()];
  }

  /** The model being loaded by an order accepted since the last report. */
  get loadingModel(): string | undefined {
    return this.acceptedSinceReport.find(({order}) => isModelLoad(order))?.order
      .model;
  }

  /** Time since the engine accepted to load a model; undefined if it does not. */
  get loadingMilliseconds(): number | undefined {
    const load = this.acceptedSinceReport.find(({order}) => isModelLoad(order));
    return load && performance.now() - load.recordedAtMilliseconds;
  }

  /** Time for which an unload had lasted by the last report; zero if it ended. */
  get reportedUnloadMilliseconds(): number {
    const unload = this.acceptedSinceReport.find(({order}) =>
      isModelUnload(order),
    );
    if (!unload) return 0;
    return Math.max(
      0,
      this.reportedAtMilliseconds - unload.recordedAtMilliseconds,
    );
  }

  /**
   * Models and adapters that can serve requests, as `MODEL` or `MODEL/ADAPTER`.
   *
   * @param adapterLoadMilliseconds time after which an adapter that is not in a
   *     report yet counts as loaded.
   */
  *usableEntries(adapterLoadMilliseconds: number): Generator<string> {
    const unloading = this.acceptedSinceReport.find(({order}) =>
      isModelUnload(order),
    );
    const now = performance.now();
    for (const [model, adapters] of this.models) {
      if (model === unloading?.order.model) continue;
      yield model;
      for (const adapter of adapters) yield `${model}/${adapter}`;
    }
    for (const {order, recordedAtMilliseconds} of this.acceptedSinceReport) {
      const {kind, model, adapter} = order;
      if (adapter === undefined || kind !== OrderKind.LOAD) continue;
      if (now - recordedAtMilliseconds < adapterLoadMilliseconds) continue;
      if (!this.models.get(model)?.has(adapter)) yield `${model}/${adapter}`;
    }
  }

  holdsModel(model: string): boolean {
    return this.models.has(model);
  }

  /** Whether the adapter is held or being loaded. */
  hasCommittedAdapter({model, adapter}: AdapterKey): boolean {
    return this.committedAdapters().some(
      key => key.model === model && key.adapter === adapter,
    );
  }

  /** Adapters held or being loaded. */
  committedAdapters(): readonly AdapterKey[] {
    const names = new Map<string, AdapterKey>();
    const add = (name: AdapterKey) =>
      names.set(`${name.model}/${name.adapter}`, name);
    for (const [model, adapters] of this.models) {
      for (const adapter of adapters) add({model, adapter});
    }
    this.reportedInTransit.forEach(add);
    for (const {order} of this.acceptedSinceReport) {
      const {kind, model, adapter} = order;
      if (adapter !== undefined && kind === OrderKind.LOAD) {
        add({model, adapter});
      }
    }
    return [...names.values()];
  }

  /** Applies a report; ignores one made before the last accepted order. */
  applyReport(report: EngineReport): void {
    if (this.sequence !== undefined && report.sequence < this.sequence) return;
    const isNewSequence = report.sequence !== this.sequence;
    if (isNewSequence) this.unknownOrderAtMilliseconds = performance.now();
    this.sequence = report.sequence;
    this.models = new Map(
      report.models.map(({name, adapters}) => [name, new Set(adapters)]),
    );
    this.reportedInTransit = report.comingAdapters;
    this.isReportedBusy = report.isBusy;
    this.reportedAtMilliseconds = performance.now();
    this.isStale = false;
    this.hasUnansweredOrder = false;
    this.acceptedSinceReport = isNewSequence
      ? []
      : this.acceptedSinceReport.filter(
          ({order}) => !this.isReflectedInReport(order),
        );
  }

  /** Memory that is neither used nor reserved for loads in progress. */
  get freeMegabytes(): number {
    const {weightMegabytes, modelMegabytes, adapterMegabytes} = this.capacity();
    const models = new Set(this.models.keys());
    if (this.loadingModel !== undefined) models.add(this.loadingModel);
    let used = 0;
    for (const model of models) used += modelMegabytes(model) ?? Infinity;
    for (const {model} of this.committedAdapters())
      used += adapterMegabytes(model);
    for (const {order} of this.possibleLateLoads()) {
      used +=
        order.adapter === undefined
          ? (modelMegabytes(order.model) ?? Infinity)
          : adapterMegabytes(order.model);
    }
    return weightMegabytes - used;
  }

  /** Returns why a model cannot be loaded now; undefined if it can. */
  findModelLoadBlocker(model: string): string | undefined {
    if (!this.isUpToDate) return 'the engine holdings are not up to date';
    if (this.isBusy) return 'the engine is executing another order';
    if (this.models.has(model)) return 'the engine already holds the model';
    const megabytes = this.capacity().modelMegabytes(model);
    if (megabytes === undefined) return 'the model is not in the catalogue';
    return megabytes <= this.freeMegabytes
      ? undefined
      : 'the engine has not enough free memory';
  }

  /** Returns why an adapter cannot be loaded now; undefined if it can. */
  findAdapterLoadBlocker(name: AdapterKey): string | undefined {
    const {adapterSlots, adapterMegabytes} = this.capacity();
    if (!this.isUpToDate) return 'the engine holdings are not up to date';
    if (this.isBusy) return 'the engine is executing another order';
    if (!this.models.has(name.model))
      return 'the engine does not hold the model';
    if (this.hasCommittedAdapter(name))
      return 'the engine already holds the adapter';
    const usedSlots =
      this.committedAdapters().length + this.possibleLateLoads().length;
    if (usedSlots >= adapterSlots) return 'the engine has no free adapter slot';
    if (this.inTransitCount >= MAXIMUM_ADAPTERS_IN_TRANSIT)
      return 'too many adapters are being transferred';
    return adapterMegabytes(name.model) <= this.freeMegabytes
      ? undefined
      : 'the engine has not enough free memory';
  }

  /**
   * Creates an order that the engine accepts only at the tracked sequence.
   *
   * @param lease lease holder and epoch under which the order is sent.
   */
  createOrder(
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    lease: {readonly holder: string; readonly fence: number},
  ): HoldingOrder {
    const expectedSequence = this.sequence ?? 0;
    const order = {kind, model, adapter, expectedSequence, ...lease};
    if (isLoadOrder(order)) this.recordUnansweredLoad(order);
    return order;
  }

  /**
   * Applies the answer to an order; undefined if none came. Only an acceptance
   * determines the next sequence. After any other outcome the holdings are
   * stale until the next report.
   */
  applyAnswer(
    order: HoldingOrder,
    answer: HoldingOrderAnswer | undefined,
  ): void {
    this.unansweredLoads = this.unansweredLoads.filter(
      load => load.order !== order,
    );
    if (answer === HoldingOrderAnswer.ACCEPTED) {
      this.sequence = order.expectedSequence + 1;
      this.acceptedSinceReport.push({
        order,
        recordedAtMilliseconds: performance.now(),
      });
      return;
    }
    this.isStale = true;
    this.unknownOrderAtMilliseconds = performance.now();
    this.hasUnansweredOrder ||= answer === undefined;
    if (answer === undefined && isLoadOrder(order))
      this.recordUnansweredLoad(order);
    const isAdapterAbsent =
      answer === HoldingOrderAnswer.ALREADY_SO &&
      order.kind === OrderKind.UNLOAD &&
      order.adapter !== undefined;
    if (!isAdapterAbsent || order.adapter === undefined) return;
    this.models.get(order.model)?.delete(order.adapter);
  }

  private recordUnansweredLoad(order: HoldingOrder): void {
    const recordedAtMilliseconds = performance.now();
    this.unansweredLoads.push({order, recordedAtMilliseconds});
  }

  /** Loads meant for an earlier process that may still arrive. */
  private possibleLateLoads(): readonly TimedOrder[] {
    const oldestRelevantMilliseconds =
      performance.now() - MAXIMUM_ORDER_DELAY_MILLISECONDS;
    this.loadsToPreviousProcess = this.loadsToPreviousProcess.filter(
      ({recordedAtMilliseconds}) =>
        recordedAtMilliseconds > oldestRelevantMilliseconds,
    );
    return this.loadsToPreviousProcess;
  }

  /** Adapters being transferred: the higher of orders and report. */
  private get inTransitCount(): number {
    const ordered = this.acceptedSinceReport.filter(
      ({order}) => order.adapter !== undefined && isLoadOrder(order),
    );
    return Math.max(ordered.length, this.reportedInTransit.length);
  }

  /** Whether a report at the same sequence shows the order as executed. */
  private isReflectedInReport({kind, model, adapter}: HoldingOrder): boolean {
    if (adapter === undefined) return !this.isReportedBusy;
    if (kind === OrderKind.UNLOAD) return true;
    return this.models.get(model)?.has(adapter) ?? true;
  }
}

function isLoadOrder({kind}: HoldingOrder): boolean {
  return kind === OrderKind.LOAD;
}

function isModelOrder({adapter}: HoldingOrder): boolean {
  return adapter === undefined;
}

function isModelLoad(order: HoldingOrder): boolean {
  return isModelOrder(order) && isLoadOrder(order);
}

function isModelUnload(order: HoldingOrder): boolean {
  return isModelOrder(order) && !isLoadOrder(order);
}
