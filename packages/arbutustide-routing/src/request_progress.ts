import type {Cancellation} from '@arbutustide/errors';

import type {FailedAttempt} from './attempt_runner.js';
import type {CallerRequest} from './caller_request.js';

import {Ran} from '@arbutustide/errors';

/** What one request has come to so far. */
export interface RequestProgress {
  readonly request: CallerRequest;
  readonly fingerprint: string;
  readonly isRepeatable: boolean;
  /** Cancels the attempt in flight. */
  readonly cancel: Cancellation;
  attempts: number;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  lastFailure: FailedAttempt | undefined;
}

/** Whether the request ran, as far as its attempts tell. */
export function ranStatus(progress: RequestProgress): Ran {
  return progress.mayHaveRun ? Ran.MAYBE : Ran.NO;
}
