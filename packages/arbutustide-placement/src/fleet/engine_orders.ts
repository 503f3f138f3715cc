import type {AttemptError, OrderKind} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

/** An engine as orders reach it. */
export interface EngineAddress {
  /** Id of its process; another process at the address refuses the order. */
  readonly id: string;
  /** Host and port. */
  readonly address: string;
}

/** A model an engine holds, with its adapters. */
export interface EngineModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** An adapter of a model. */
export interface AdapterName {
  readonly model: string;
  readonly adapter: string;
}

/** What an engine reports of itself; it is some hundred milliseconds old. */
export interface EngineState {
  /** Orders accepted since its start. */
  readonly sequence: number;
  readonly models: readonly EngineModel[];
  /** Adapters on their way to the engine. */
  readonly comingAdapters: readonly AdapterName[];
  /** Whether a model is being loaded or unloaded. */
  readonly isBusy: boolean;
  readonly running: number;
  readonly waiting: number;
}

/** An order to load or unload a model or an adapter. */
export interface HoldingOrder {
  readonly kind: OrderKind;
  readonly model: string;
  /** Undefined for the model itself. */
  readonly adapter: string | undefined;
  /** Taken only while the engine has accepted exactly this many orders. */
  readonly expectedSequence: number;
  /** Name of the node that orders. */
  readonly holder: string;
  /** Epoch of its lease. */
  readonly fence: number;
}

/** How an engine answered an order. */
export enum HoldingOrderAnswer {
  /** It is being carried out. */
  ACCEPTED = 'accepted',
  /** What it asks for holds already. */
  ALREADY_SO = 'already_so',
  /** The engine is busy, or has accepted another order since. */
  CONFLICT = 'conflict',
  /** A planner with a newer lease has given orders. */
  FENCED = 'fenced',
  /** Another process has the address. */
  OTHER_INSTANCE = 'other_instance',
  /** The engine does not know the order. */
  INVALID = 'invalid',
}

/** Orders to engines, and their reports. */
export interface EngineOrders {
  report(engine: EngineAddress): Promise<Result<EngineState, AttemptError>>;
  order(
    engine: EngineAddress,
    order: HoldingOrder,
  ): Promise<Result<HoldingOrderAnswer, AttemptError>>;
}
