import type {ModelName} from './route.js';

/** Whether an upstream takes new work. */
export enum UpstreamState {
  READY = 'ready',
  /** Serves what it has; nothing new is sent to it. */
  LEAVING = 'leaving',
}

/** What an upstream holds of one model. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** What an upstream says of itself in the platform's list. */
export interface UpstreamDescription {
  readonly id: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: UpstreamState;
  readonly slots: number;
  /** Unix time of its start, in milliseconds; a restart may keep the id. */
  readonly startedAt: number;
  readonly models: readonly HeldModel[];
  /** Models it can load from its own host memory, then from its own disk. */
  readonly modelsInMemory: readonly string[];
  readonly modelsOnDisk: readonly string[];
}

/** Requests at an upstream, as it counts them itself. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How long the load an upstream told stays a guide, in milliseconds. */
const MAXIMUM_LOAD_REPORT_AGE_MILLISECONDS = 500;
/** Failures in a row after which an upstream is left alone for a while. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** How long it is left alone; it may be back at any time. */
const EJECTION_MILLISECONDS = 1_000;

/** How long what was learned outweighs the list, which lags by two beats. */
const OBSERVED_HOLDING_LIFETIME_MILLISECONDS = 3_000;

/** What an order or an answer told of one model or adapter. */
interface ObservedHolding {
  readonly isHeld: boolean;
  readonly validUntilMilliseconds: number;
}

/** One upstream with what this node knows of it. */
export class FleetUpstream {
  /** Requests of this node now at the upstream. */
  ownInFlight = 0;
  /** Requests of the other nodes, as they last told. */
  peersInFlight = 0;
  private reportedLoad: UpstreamLoad | undefined;
  private reportedAtMilliseconds = 0;
  private ownInFlightAtReport = 0;
  private lastActivityAtMilliseconds = performance.now();
  private consecutiveFailures = 0;
  private ejectedUntilMilliseconds = 0;
  private listedHoldings: ReadonlySet<string> = new Set();
  private plannedHoldings: ReadonlySet<string> | undefined;
  private readonly observedHoldings = new Map<string, ObservedHolding>();

  constructor(private currentDescription: UpstreamDescription) {
    this.setListedHoldings(currentDescription.models);
  }

  get description(): UpstreamDescription {
    return this.currentDescription;
  }

  get id(): string {
    return this.currentDescription.id;
  }

  /** Whether new work may be sent. */
  get isReady(): boolean {
    return this.currentDescription.state === UpstreamState.READY;
  }

  /** Whether recent failures speak against sending new work. */
  get isEjected(): boolean {
    return performance.now() < this.ejectedUntilMilliseconds;
  }

  /** Takes a newer description of the same process. */
  updateDescription(description: UpstreamDescription): void {
    this.currentDescription = description;
    this.setListedHoldings(description.models);
  }

  /** Whether a request for the model can be served now. */
  canServe({model, adapter}: ModelName): boolean {
    if (!this.isHeld(model)) return false;
    return adapter === undefined || this.isHeld(holdingKey({model, adapter}));
  }

  /** Whether the model itself is held, with any adapters. */
  holdsModel(model: string): boolean {
    return this.isHeld(model);
  }

  /** Takes what the planner says it holds; undefined to go by the list. */
  takePlanned(held: readonly string[] | undefined): void {
    this.plannedHoldings = held && new Set(held);
  }

  /** Learns from an order or an answer what is held, ahead of the list. */
  learnHolding(name: ModelName, holdsKey: boolean): void {
    const untilMilliseconds =
      performance.now() + OBSERVED_HOLDING_LIFETIME_MILLISECONDS;
    this.observedHoldings.set(holdingKey(name), {
      isHeld: holdsKey,
      validUntilMilliseconds: untilMilliseconds,
    });
  }

  /** Takes the load the upstream told with an answer. */
  recordReportedLoad(load: UpstreamLoad): void {
    this.reportedLoad = load;
    this.reportedAtMilliseconds = performance.now();
    this.ownInFlightAtReport = this.ownInFlight;
  }

  /** Requests that are probably at the upstream now, from all nodes. */
  get estimatedInFlight(): number {
    const counted = this.ownInFlight + this.peersInFlight;
    const age = performance.now() - this.reportedAtMilliseconds;
    if (!this.reportedLoad || age > MAXIMUM_LOAD_REPORT_AGE_MILLISECONDS)
      return counted;
    const change = this.ownInFlight - this.ownInFlightAtReport;
    const told = this.reportedLoad.running + this.reportedLoad.waiting + change;
    return Math.max(told, this.ownInFlight);
  }

  /** Notes that it has sent something. */
  recordActivity(): void {
    this.lastActivityAtMilliseconds = performance.now();
  }

  /** Time since it last sent something to this node, in milliseconds. */
  get silentMilliseconds(): number {
    return performance.now() - this.lastActivityAtMilliseconds;
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejectedUntilMilliseconds = 0;
  }

  recordFailure(): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) return;
    this.ejectedUntilMilliseconds = performance.now() + EJECTION_MILLISECONDS;
  }

  private isHeld(key: string): boolean {
    const learned = this.observedHoldings.get(key);
    if (learned && performance.now() < learned.validUntilMilliseconds) {
      return learned.isHeld;
    }
    if (learned) this.observedHoldings.delete(key);
    return (this.plannedHoldings ?? this.listedHoldings).has(key);
  }

  private setListedHoldings(models: readonly HeldModel[]): void {
    this.listedHoldings = new Set(
      models.flatMap(({name: model, adapters}) => [
        model,
        ...adapters.map(adapter => holdingKey({model, adapter})),
      ]),
    );
  }
}

function holdingKey({model, adapter}: ModelName): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
