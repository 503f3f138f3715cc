import type {
  AdapterName,
  EngineAddress,
  EngineState,
  HoldingOrder,
} from './engine_orders.js';

import {OrderKind} from '@arbutustide/upstream';

import {HoldingOrderAnswer} from './engine_orders.js';

/** Room of one engine, and the sizes of what it may hold. */
export interface EngineCapacity {
  readonly weightMegabytes: number;
  readonly adapterPlaces: number;
  /** Size of a model's weights; undefined for one not in the catalogue. */
  readonly modelMegabytes: (model: string) => number | undefined;
  /** Size of one adapter of a model. */
  readonly adapterMegabytes: (model: string) => number;
}

/** Adapters that may be on their way to one engine; its own limit. */
const MAXIMUM_ADAPTERS_IN_TRANSIT = 4;

/** By then an order that got no answer has been carried out or never will be. */
const MAXIMUM_ORDER_DELAY_MILLISECONDS = 15_000;

/** An order that the engine has accepted. */
interface TimedOrder {
  readonly order: HoldingOrder;
  readonly recordedAtMilliseconds: number;
}

/**
 * What is known of one engine's holdings at an order sequence, and whether an
 * order fits. An engine takes at most one order at each sequence, so an order
 * that fits the holdings at the sequence it expects can never overfill the
 * engine, however late it arrives.
 */
export class EngineBook {
  private sequence: number | undefined;
  private models = new Map<string, Set<string>>();
  private reportedInTransit: readonly AdapterName[] = [];
  private isReportedBusy = false;
  private reportedAtMilliseconds = -Infinity;
  private isStale = true;
  /** Orders accepted after the last report that was taken. */
  private acceptedSinceReport: TimedOrder[] = [];
  /** Loads that got no answer, of this process or of the one before. */
  private unansweredLoads: TimedOrder[] = [];
  private loadsToPreviousProcess: TimedOrder[] = [];

  constructor(
    readonly engine: EngineAddress,
    private readonly capacity: () => EngineCapacity,
  ) {}

  /**
   * The holdings of the process that took the engine's id over. Its sequence starts
   * anew, so a late order to the process before may be taken by this one; room
   * is kept for such orders until none can arrive.
   */
  forNewProcess(engine: EngineAddress): EngineBook {
    const holdings = new EngineBook(engine, this.capacity);
    holdings.loadsToPreviousProcess = [
      ...this.loadsToPreviousProcess,
      ...this.unansweredLoads,
    ];
    return holdings;
  }

  /** Time since the last report that was taken, in milliseconds. */
  get reportAgeMilliseconds(): number {
    return performance.now() - this.reportedAtMilliseconds;
  }

  /** Whether the engine's holdings are known well enough to give an order. */
  get isUpToDate(): boolean {
    return this.sequence !== undefined && !this.isStale;
  }

  /** Whether any report was taken. */
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

  /** Models held, those being unloaded included. */
  get heldModels(): readonly string[] {
    return [...this.models.keys()];
  }

  /** The model being loaded by an order accepted since the last report. */
  get loadingModel(): string | undefined {
    return this.acceptedSinceReport.find(({order}) => isModelLoad(order))?.order
      .model;
  }

  /** Models and adapters that take requests, as `MODEL` or `MODEL/ADAPTER`. */
  *usableEntries(adapterLoadMilliseconds: number): Generator<string> {
    const unloading = this.acceptedSinceReport.find(({order}) =>
      isModelUnload(order),
    );
    const now = performance.now();
    for (const [model, committedAdapters] of this.models) {
      if (model === unloading?.order.model) continue;
      yield model;
      for (const adapter of committedAdapters) yield `${model}/${adapter}`;
    }
    for (const {order, recordedAtMilliseconds: atMilliseconds} of this
      .acceptedSinceReport) {
      const {kind, model, adapter} = order;
      if (adapter === undefined || kind !== OrderKind.LOAD) continue;
      if (now - atMilliseconds < adapterLoadMilliseconds) continue;
      if (!this.models.get(model)?.has(adapter)) yield `${model}/${adapter}`;
    }
  }

  holdsModel(model: string): boolean {
    return this.models.has(model);
  }

  /** Whether the adapter is held or on its way. */
  hasCommittedAdapter({model, adapter}: AdapterName): boolean {
    return this.adapters().some(
      name => name.model === model && name.adapter === adapter,
    );
  }

  /** Adapters held or on their way. */
  adapters(): readonly AdapterName[] {
    const names = new Map<string, AdapterName>();
    const add = (name: AdapterName) =>
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

  /** Takes a report, unless orders were accepted since it was made. */
  applyReport(state: EngineState): void {
    if (this.sequence !== undefined && state.sequence < this.sequence) return;
    const isNewSequence = state.sequence !== this.sequence;
    this.sequence = state.sequence;
    this.models = new Map(
      state.models.map(({name, adapters}) => [name, new Set(adapters)]),
    );
    this.reportedInTransit = state.comingAdapters;
    this.isReportedBusy = state.isBusy;
    this.reportedAtMilliseconds = performance.now();
    this.isStale = false;
    this.acceptedSinceReport = isNewSequence
      ? []
      : this.acceptedSinceReport.filter(
          ({order}) => !this.isReflectedInReport(order),
        );
  }

  /** Room for weights that neither is used nor may come to be. */
  get freeMegabytes(): number {
    const {weightMegabytes, modelMegabytes, adapterMegabytes} = this.capacity();
    const models = new Set(this.models.keys());
    if (this.loadingModel !== undefined) models.add(this.loadingModel);
    let used = 0;
    for (const model of models) used += modelMegabytes(model) ?? Infinity;
    for (const {model} of this.adapters()) used += adapterMegabytes(model);
    for (const {order} of this.possibleLateLoads()) {
      used +=
        order.adapter === undefined
          ? (modelMegabytes(order.model) ?? Infinity)
          : adapterMegabytes(order.model);
    }
    return weightMegabytes - used;
  }

  /** Why a model cannot be loaded now; undefined when it can. */
  findModelLoadBlocker(model: string): string | undefined {
    if (!this.isUpToDate) return 'its holdings are not known';
    if (this.isBusy) return 'it carries out another order';
    if (this.models.has(model)) return 'it holds the model';
    const megabytes = this.capacity().modelMegabytes(model);
    if (megabytes === undefined) return 'the model is not in the catalogue';
    return megabytes <= this.freeMegabytes ? undefined : 'it has no room';
  }

  /** Why an adapter cannot be loaded now; undefined when it can. */
  findAdapterLoadBlocker(name: AdapterName): string | undefined {
    const {adapterPlaces, adapterMegabytes} = this.capacity();
    if (!this.isUpToDate) return 'its holdings are not known';
    if (this.isBusy) return 'it carries out another order';
    if (!this.models.has(name.model)) return 'it does not hold the model';
    if (this.hasCommittedAdapter(name)) return 'it holds the adapter';
    const usedSlots = this.adapters().length + this.possibleLateLoads().length;
    if (usedSlots >= adapterPlaces) return 'no place is free';
    if (this.inTransitCount >= MAXIMUM_ADAPTERS_IN_TRANSIT)
      return 'others are on their way';
    return adapterMegabytes(name.model) <= this.freeMegabytes
      ? undefined
      : 'it has no room';
  }

  /** An order at the sequence the holdings are known for. */
  createOrder(
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    lease: {readonly holder: string; readonly fence: number},
  ): HoldingOrder {
    return {
      kind,
      model,
      adapter,
      expectedSequence: this.sequence ?? 0,
      ...lease,
    };
  }

  /**
   * Takes the answer to an order; undefined when none came. Only a plain
   * acceptance tells the next sequence; after all else a report must.
   */
  applyAnswer(
    order: HoldingOrder,
    answer: HoldingOrderAnswer | undefined,
  ): void {
    if (answer === HoldingOrderAnswer.ACCEPTED) {
      this.sequence = order.expectedSequence + 1;
      this.acceptedSinceReport.push({
        order,
        recordedAtMilliseconds: performance.now(),
      });
      return;
    }
    this.isStale = true;
    if (answer === undefined && isLoadOrder(order)) {
      this.unansweredLoads.push({
        order,
        recordedAtMilliseconds: performance.now(),
      });
    }
    const isAdapterAbsent =
      answer === HoldingOrderAnswer.ALREADY_SO &&
      order.kind === OrderKind.UNLOAD &&
      order.adapter !== undefined;
    if (!isAdapterAbsent || order.adapter === undefined) return;
    this.models.get(order.model)?.delete(order.adapter);
  }

  /** Orders to the process before that may still arrive. */
  private possibleLateLoads(): readonly TimedOrder[] {
    const oldestRelevantMilliseconds =
      performance.now() - MAXIMUM_ORDER_DELAY_MILLISECONDS;
    this.loadsToPreviousProcess = this.loadsToPreviousProcess.filter(
      ({recordedAtMilliseconds: atMilliseconds}) =>
        atMilliseconds > oldestRelevantMilliseconds,
    );
    return this.loadsToPreviousProcess;
  }

  private get inTransitCount(): number {
    const ordered = this.acceptedSinceReport.filter(
      ({order}) => order.adapter !== undefined && isLoadOrder(order),
    );
    return Math.max(ordered.length, this.reportedInTransit.length);
  }

  /** Whether a report at the same sequence shows the order as carried out. */
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
