import type {Cancellation} from '@arbutustide/errors';

import type {FailedAttempt} from './attempt_runner.js';
import type {CallerRequest} from './caller_request.js';

import {ExecutionStatus} from '@arbutustide/errors';

/** State of one request across its attempts. */
export interface RequestProgress {
  readonly request: CallerRequest;
  readonly fingerprint: string;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Cancelled to abort the attempt in flight. */
  readonly cancellation: Cancellation;
  /** Attempts started so far. */
  attemptCount: number;
  /** Whether an upstream may have run the request. */
  mayHaveRun: boolean;
  lastFailure: FailedAttempt | undefined;
}

/** Whether the request may have run, judging by its failed attempts. */
export function ranStatus(progress: RequestProgress): ExecutionStatus {
  return progress.mayHaveRun
    ? ExecutionStatus.POSSIBLY_EXECUTED
    : ExecutionStatus.NOT_EXECUTED;
}
