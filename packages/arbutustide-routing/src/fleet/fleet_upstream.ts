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
const LOAD_AGE_MILLISECONDS = 500;
/** Failures in a row after which an upstream is left alone for a while. */
const FAILURES_TO_REST = 3;
/** How long it is left alone; it may be back at any time. */
const REST_MILLISECONDS = 1_000;

/** How long what was learned outweighs the list, which lags by two beats. */
const HOLDING_AGE_MILLISECONDS = 3_000;

/** What an order or an answer told of one model or adapter. */
interface LearnedHolding {
  readonly isHeld: boolean;
  readonly untilMilliseconds: number;
}

/** One upstream with what this node knows of it. */
export class FleetUpstream {
  /** Requests of this node now at the upstream. */
  ownInFlight = 0;
  /** Requests of the other nodes, as they last told. */
  peersInFlight = 0;
  private told: UpstreamLoad | undefined;
  private toldAtMilliseconds = 0;
  private ownInFlightWhenTold = 0;
  private heardAtMilliseconds = performance.now();
  private failuresInRow = 0;
  private restsUntilMilliseconds = 0;
  private listed: ReadonlySet<string> = new Set();
  private planned: ReadonlySet<string> | undefined;
  private readonly learned = new Map<string, LearnedHolding>();

  constructor(private described: UpstreamDescription) {
    this.takeHoldings(described.models);
  }

  get description(): UpstreamDescription {
    return this.described;
  }

  get id(): string {
    return this.described.id;
  }

  /** Whether new work may be sent. */
  get isReady(): boolean {
    return this.described.state === UpstreamState.READY;
  }

  /** Whether recent failures speak against sending new work. */
  get isResting(): boolean {
    return performance.now() < this.restsUntilMilliseconds;
  }

  /** Takes a newer description of the same process. */
  describe(description: UpstreamDescription): void {
    this.described = description;
    this.takeHoldings(description.models);
  }

  /** Whether a request for the model can be served now. */
  holds({model, adapter}: ModelName): boolean {
    if (!this.isHeld(model)) return false;
    return adapter === undefined || this.isHeld(holdingKey({model, adapter}));
  }

  /** Whether the model itself is held, with any adapters. */
  holdsModel(model: string): boolean {
    return this.isHeld(model);
  }

  /** Takes what the planner says it holds; undefined to go by the list. */
  takePlanned(held: readonly string[] | undefined): void {
    this.planned = held && new Set(held);
  }

  /** Learns from an order or an answer what is held, ahead of the list. */
  learnHolding(name: ModelName, isHeld: boolean): void {
    const untilMilliseconds = performance.now() + HOLDING_AGE_MILLISECONDS;
    this.learned.set(holdingKey(name), {isHeld, untilMilliseconds});
  }

  /** Takes the load the upstream told with an answer. */
  learnLoad(load: UpstreamLoad): void {
    this.told = load;
    this.toldAtMilliseconds = performance.now();
    this.ownInFlightWhenTold = this.ownInFlight;
  }

  /** Requests that are probably at the upstream now, from all nodes. */
  get estimatedInFlight(): number {
    const counted = this.ownInFlight + this.peersInFlight;
    const age = performance.now() - this.toldAtMilliseconds;
    if (!this.told || age > LOAD_AGE_MILLISECONDS) return counted;
    const change = this.ownInFlight - this.ownInFlightWhenTold;
    const told = this.told.running + this.told.waiting + change;
    return Math.max(told, this.ownInFlight);
  }

  /** Notes that it has sent something. */
  noteHeard(): void {
    this.heardAtMilliseconds = performance.now();
  }

  /** Time since it last sent something to this node, in milliseconds. */
  get silentMilliseconds(): number {
    return performance.now() - this.heardAtMilliseconds;
  }

  recordSuccess(): void {
    this.failuresInRow = 0;
    this.restsUntilMilliseconds = 0;
  }

  recordFailure(): void {
    this.failuresInRow += 1;
    if (this.failuresInRow < FAILURES_TO_REST) return;
    this.restsUntilMilliseconds = performance.now() + REST_MILLISECONDS;
  }

  private isHeld(key: string): boolean {
    const learned = this.learned.get(key);
    if (learned && performance.now() < learned.untilMilliseconds) {
      return learned.isHeld;
    }
    if (learned) this.learned.delete(key);
    return (this.planned ?? this.listed).has(key);
  }

  private takeHoldings(models: readonly HeldModel[]): void {
    this.listed = new Set(
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
