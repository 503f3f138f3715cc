import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';

/** A plain service's report on itself; its request count lags. */
export interface ServiceReport {
  /** Instance id of the service, drawn when its process starts. */
  readonly serviceStart: string;
  readonly inFlight: number;
  readonly isLeaving: boolean;
}

/** Client of a plain service: an HTTP service that is not a model engine. */
export interface PlainService {
  /** Sends a request and waits for the head of the answer. */
  sendAttempt(request: AttemptRequest): AttemptResult;
  fetchReport(): Promise<Result<ServiceReport, AttemptError>>;
  /** Replaces the connections, in case they are half-open. */
  renewConnections(): void;
  close(): Promise<void>;
}
