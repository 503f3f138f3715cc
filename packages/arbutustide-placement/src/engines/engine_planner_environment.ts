import type {EngineAddress, HoldingOrder} from './engine_client.js';
import type {EngineCapacity} from './engine_holdings_tracker.js';
import type {UnloadedReason, WaitingModel} from './unloaded_models.js';

/** An engine as listed by the platform, with its current load. */
export interface ListedEngine extends EngineAddress {
  readonly service: string;
  readonly failureDomain: string;
  /** Version of the engine's software. */
  readonly softwareVersion: string;
  /** Unix time at which the engine process started, in milliseconds. */
  readonly startedAt: number;
  /** Whether the engine accepts new requests. */
  readonly isReady: boolean;
  /** Whether it takes calls of this node; not while it asked for a pause. */
  readonly acceptsCalls: boolean;
  /** Requests in flight at the engine, summed over all nodes. */
  readonly inFlight: number;
  /** Requests that it takes per second; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Models that the engine can load from its own host memory. */
  readonly modelsInMemory: ReadonlySet<string>;
  /** Models that the engine can load from its own disk. */
  readonly modelsOnDisk: ReadonlySet<string>;
}

/** A model in a service's catalogue, with its size and load times. */
export interface CataloguedModel {
  readonly name: string;
  readonly megabytes: number;
  /** Time to load the weights from the weight store. */
  readonly storeLoadMilliseconds: number;
  /** Time to load the weights from the engine's own disk. */
  readonly diskLoadMilliseconds: number;
  /** Time to load the weights from the engine's host memory. */
  readonly memoryLoadMilliseconds: number;
}

/** Model catalogue and engine capacity of a service served by engines. */
export interface EngineService extends EngineCapacity {
  readonly name: string;
  /** Rate limit of the weight store. */
  readonly storeLoadsPerSecond: number;
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  readonly models: readonly CataloguedModel[];
}

/** Kinds of planner events; written to the log. */
export enum PlannerStep {
  LEASE_GAINED = 'lease_gained',
  LEASE_LOST = 'lease_lost',
  ORDERED = 'ordered',
  REPORT_FAILED = 'report_failed',
  REPORT_REGAINED = 'report_regained',
  NO_PLACE = 'no_place',
  /** A model that its requests waited for is on an engine. */
  MODEL_LOADED = 'model_loaded',
  /** A summary of the latest passes. */
  PASSES = 'passes',
}

/** What the planner did in the passes of about a second. */
export interface PassSummary {
  readonly passes: number;
  readonly orders: number;
  readonly longestPassMilliseconds: number;
  /** Longest time by which a pass began later than planned. */
  readonly longestDelayMilliseconds: number;
  /** Number of models with requests that no engine holds, by reason. */
  readonly unloaded: Readonly<Partial<Record<UnloadedReason, number>>>;
  /** Those that have waited longest. */
  readonly longestWaiting: readonly WaitingModel[];
}

/**
 * A planner event, written to the log with the facts it was based on. Which
 * fields are set depends on the step.
 */
export interface PlannerEvent {
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
  readonly service?: string;
  readonly waitedMilliseconds?: number;
  readonly passes?: PassSummary;
}

/** Services that the node provides to the planner. */
export interface EnginePlannerEnvironment {
  /** Engines that the platform currently lists. */
  listEngines(): Iterable<ListedEngine>;
  listServices(): Iterable<EngineService>;
  /** Requests in flight or queued for a model, summed over all nodes. */
  countRequests(service: string, model: string): number;
  /** Requests queued for a model, summed over all nodes. */
  countQueuedRequests(service: string, model: string): number;
  /** Whether any node has requests in flight or queued for the adapter. */
  isAdapterInUse(service: string, model: string, adapter: string): boolean;
  /**
   * Publishes to all nodes what an engine holds. Undefined withdraws what was
   * published for it before.
   *
   * @param held models and adapters, as `MODEL` or `MODEL/ADAPTER`; the same
   *     array as before if they have not changed.
   * @param epoch epoch of the planner's lease.
   */
  publishHoldings(
    engine: ListedEngine,
    held: readonly string[] | undefined,
    epoch: number,
  ): void;
  /**
   * Publishes to all nodes when models that no engine holds will be held.
   * Undefined withdraws what was published before.
   *
   * @param readyInMilliseconds by service and model, as `SERVICE/MODEL`;
   *     Infinity for a model that no engine has room for.
   * @param epoch epoch of the planner's lease.
   */
  publishExpectedLoads(
    readyInMilliseconds: ReadonlyMap<string, number> | undefined,
    epoch: number,
  ): void;
  /** Sends published changes to other nodes before the next gossip round. */
  broadcastHoldings(): void;
  /** Logs the event and updates the metrics. */
  recordEvent(event: PlannerEvent): void;
}
