import type {AttemptError, OrderKind} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

/** Address and identity of an engine process. */
export interface EngineAddress {
  /** Id of the process; another process at the address rejects the order. */
  readonly id: string;
  /** Host and port, as `HOST:PORT`. */
  readonly address: string;
}

/** A model that an engine holds, with the adapters loaded for it. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Identifies an adapter and the model it belongs to. */
export interface AdapterKey {
  readonly model: string;
  readonly adapter: string;
}

/** State that an engine reports; a few hundred milliseconds old. */
export interface EngineReport {
  /** Number of orders accepted since the engine process started. */
  readonly sequence: number;
  readonly models: readonly HeldModel[];
  /** Adapters that were ordered and are still being transferred. */
  readonly comingAdapters: readonly AdapterKey[];
  /** Whether a model is being loaded or unloaded. */
  readonly isBusy: boolean;
  /** Requests being run. */
  readonly running: number;
  /** Requests queued at the engine. */
  readonly waiting: number;
}

/** An order to load or unload a model or an adapter. */
export interface HoldingOrder {
  readonly kind: OrderKind;
  readonly model: string;
  /** Undefined if the order concerns the model itself. */
  readonly adapter: string | undefined;
  /**
   * Optimistic concurrency check: the engine accepts the order only if it has
   * accepted exactly this many orders before.
   */
  readonly expectedSequence: number;
  /** Name of the node that sends the order and holds the planner lease. */
  readonly holder: string;
  /** Fencing token: the epoch of the lease. */
  readonly fence: number;
}

/** Answer of an engine to an order. */
export enum HoldingOrderAnswer {
  /** The engine accepted the order and is executing it. */
  ACCEPTED = 'accepted',
  /** The requested state already holds. */
  ALREADY_SO = 'already_so',
  /** The engine is busy, or the expected sequence is outdated. */
  CONFLICT = 'conflict',
  /** The engine has accepted an order with a higher fencing token. */
  FENCED = 'fenced',
  /** Another process is running at the address. */
  OTHER_INSTANCE = 'other_instance',
  /** The engine does not recognize the order. */
  INVALID = 'invalid',
}

/** Client for the orders and reports of engines. */
export interface EngineClient {
  /** Reads the current state of an engine. */
  fetchReport(
    engine: EngineAddress,
  ): Promise<Result<EngineReport, AttemptError>>;
  /** Sends an order; an error means that it may or may not be executed. */
  sendOrder(
    engine: EngineAddress,
    order: HoldingOrder,
  ): Promise<Result<HoldingOrderAnswer, AttemptError>>;
}
