import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';

/** What an order tells an engine to do. */
export enum OrderKind {
  LOAD = 'load',
  UNLOAD = 'unload',
}

/** How an engine answered an order. */
export enum OrderOutcome {
  DONE = 'done',
  /** The fencing number was old; nothing was done. */
  FENCED = 'fenced',
  /** Refused for another reason; nothing was done. */
  REFUSED = 'refused',
}

/** What the engine knows of an attempt. */
export enum AttemptState {
  RUNNING = 'running',
  FINISHED = 'finished',
  UNKNOWN = 'unknown',
}

/** An order to an engine. */
export interface EngineOrder {
  readonly orderId: string;
  /** Grows with every lease of the planner. */
  readonly fence: number;
  readonly kind: OrderKind;
  /** Item as `name@version`. */
  readonly item: string;
  readonly memoryBytes: number;
  /** Item of the model an adapter belongs to. */
  readonly baseItem?: string | undefined;
}

/** An engine's answer to an order. */
export interface OrderAnswer {
  readonly orderId: string;
  readonly outcome: OrderOutcome;
  readonly engineStart: string;
  readonly reason?: string | undefined;
}

/** An item in an engine's memory. */
export interface ResidentItem {
  readonly item: string;
  readonly memoryBytes: number;
  /** Whether it only ends its requests in flight before it is unloaded. */
  readonly isDraining: boolean;
}

/** An engine's report on itself; load figures lag. */
export interface EngineReport {
  /** Drawn by the engine at its start. */
  readonly engineStart: string;
  /** Memory over all accelerators of the worker. */
  readonly memoryBytes: number;
  readonly acceleratorCount: number;
  /** Items that hold memory as the report is made; this does not lag. */
  readonly resident: readonly ResidentItem[];
  readonly inFlight: number;
  readonly queued: number;
  readonly isLeaving: boolean;
}

/** A change in an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly isStored: boolean;
  readonly item: string;
  readonly prefixDigest: string;
}

/** A model engine of the platform. */
export interface Engine {
  attempt(request: AttemptRequest): AttemptResult;
  /** Continues a stream after the given event, on a new connection. */
  resume(request: AttemptRequest, lastEventId: string): AttemptResult;
  attemptState(attemptId: string): Promise<Result<AttemptState, AttemptError>>;
  order(
    order: EngineOrder,
    timeoutMilliseconds: number,
  ): Promise<Result<OrderAnswer, AttemptError>>;
  report(): Promise<Result<EngineReport, AttemptError>>;
  cacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], AttemptError>>;
  /** Replaces connections that may have been lost without a sign. */
  renewConnections(): void;
  close(): Promise<void>;
}
