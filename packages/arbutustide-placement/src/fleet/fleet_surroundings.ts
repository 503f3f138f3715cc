import type {EngineAddress, HoldingOrder} from './engine_orders.js';
import type {EngineCapacity} from './engine_book.js';

/** An engine as the platform lists it. */
export interface ListedEngine extends EngineAddress {
  readonly service: string;
  readonly failureDomain: string;
  /** Unix time of its start, in milliseconds. */
  readonly startedAt: number;
  /** Whether it takes new work. */
  readonly isReady: boolean;
  /** Requests in flight there, from all nodes. */
  readonly inFlight: number;
  readonly modelsInMemory: ReadonlySet<string>;
  readonly modelsOnDisk: ReadonlySet<string>;
}

/** A model of a service's catalogue with the time its loads take. */
export interface CataloguedModel {
  readonly name: string;
  readonly megabytes: number;
  readonly storeLoadMilliseconds: number;
  readonly diskLoadMilliseconds: number;
  readonly memoryLoadMilliseconds: number;
}

/** The catalogue of one service whose upstreams are engines. */
export interface EngineService extends EngineCapacity {
  readonly name: string;
  readonly storeLoadsPerSecond: number;
  /** Requests that one engine runs at once. */
  readonly slots: number;
  readonly models: readonly CataloguedModel[];
}

/** Steps of the planner that are logged. */
export enum PlannerStep {
  LEASE_GAINED = 'lease_gained',
  LEASE_LOST = 'lease_lost',
  ORDERED = 'ordered',
  REPORT_FAILED = 'report_failed',
  REPORT_REGAINED = 'report_regained',
  NO_PLACE = 'no_place',
}

/** One decision of the planner, with what led to it. */
export interface PlannerDecision {
  readonly step: PlannerStep;
  readonly upstream?: string;
  readonly order?: HoldingOrder;
  readonly answer?: string;
  readonly epoch?: number;
  readonly reason?: string;
  readonly model?: string;
  readonly adapter?: string | undefined;
  readonly reportAgeMilliseconds?: number;
  readonly gain?: number;
}

/** What the planner asks of its node. */
export interface FleetSurroundings {
  /** Engines listed at present. */
  engines(): Iterable<ListedEngine>;
  services(): Iterable<EngineService>;
  /** Requests in flight and queued for a model, over all nodes. */
  demand(service: string, model: string): number;
  /** Requests queued for a model, over all nodes. */
  waiting(service: string, model: string): number;
  /** Whether any node has requests for the adapter. */
  isAdapterInUse(service: string, model: string, adapter: string): boolean;
  /** Tells the nodes what an engine holds; undefined to take it back. */
  publish(
    engine: ListedEngine,
    held: readonly string[] | undefined,
    epoch: number,
  ): void;
  /** Has what was published last told to the other nodes at once. */
  announce(): void;
  record(decision: PlannerDecision): void;
}
