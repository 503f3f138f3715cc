import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';

/** Action that an order requests. */
export enum OrderKind {
  LOAD = 'load',
  UNLOAD = 'unload',
}

/** Outcome of an order, as the engine answers it. */
export enum OrderOutcome {
  DONE = 'done',
  /** Refused because its fencing token is out of date; nothing was done. */
  FENCED = 'fenced',
  /** Refused for another reason; nothing was done. */
  REFUSED = 'refused',
}

/** State of an attempt at an engine; UNKNOWN when it has no record of it. */
export enum AttemptState {
  RUNNING = 'running',
  FINISHED = 'finished',
  UNKNOWN = 'unknown',
}

/** An order of the planner to an engine. */
export interface EngineOrder {
  readonly orderId: string;
  /** Fencing token: the epoch of the planner's lease. */
  readonly fence: number;
  readonly kind: OrderKind;
  /** Item as `name@version`. */
  readonly item: string;
  readonly memoryBytes: number;
  /** Item of the adapter's base model. */
  readonly baseItem?: string | undefined;
}

/** An engine's answer to an order. */
export interface OrderAnswer {
  readonly orderId: string;
  readonly outcome: OrderOutcome;
  /** Instance id of the engine, drawn when its process starts. */
  readonly engineStart: string;
  readonly reason?: string | undefined;
}

/** A model or adapter version in an engine's memory. */
export interface ResidentItem {
  readonly item: string;
  readonly memoryBytes: number;
  /** Whether it only finishes its requests in flight, then is unloaded. */
  readonly isDraining: boolean;
}

/** An engine's report on itself; its request counts lag. */
export interface EngineReport {
  /** Instance id of the engine, drawn when its process starts. */
  readonly engineStart: string;
  /** Total memory of the worker's accelerators. */
  readonly memoryBytes: number;
  readonly acceleratorCount: number;
  /** Items in memory at the time of the report; this does not lag. */
  readonly resident: readonly ResidentItem[];
  readonly inFlight: number;
  readonly queued: number;
  readonly isLeaving: boolean;
}

/** A change in an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  /** Whether the prefix was stored; otherwise it was evicted. */
  readonly isStored: boolean;
  readonly item: string;
  readonly prefixDigest: string;
}

/** Client of a model engine. */
export interface Engine {
  /** Sends a request and waits for the head of the answer. */
  sendAttempt(request: AttemptRequest): AttemptResult;
  /** Continues the event stream of an attempt after the given event. */
  resumeStream(request: AttemptRequest, lastEventId: string): AttemptResult;
  fetchAttemptState(
    attemptId: string,
  ): Promise<Result<AttemptState, AttemptError>>;
  sendOrder(
    order: EngineOrder,
    timeoutMilliseconds: number,
  ): Promise<Result<OrderAnswer, AttemptError>>;
  fetchReport(): Promise<Result<EngineReport, AttemptError>>;
  fetchCacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], AttemptError>>;
  /** Replaces the connections, in case they are half-open. */
  renewConnections(): void;
  close(): Promise<void>;
}
