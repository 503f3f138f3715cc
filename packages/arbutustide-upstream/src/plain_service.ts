import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';

/** A plain service's report on itself; load figures lag. */
export interface ServiceReport {
  readonly serviceStart: string;
  readonly inFlight: number;
  readonly isLeaving: boolean;
}

/** A plain service beside the engines. */
export interface PlainService {
  attempt(request: AttemptRequest): AttemptResult;
  report(): Promise<Result<ServiceReport, AttemptError>>;
  /** Replaces connections that may have been lost without a sign. */
  renewConnections(): void;
  close(): Promise<void>;
}
