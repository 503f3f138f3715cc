import type {ErrorKind, Ran} from '@arbutustide/errors';

import type {AttemptOutcome} from './attempt_verdict.js';

/** Steps of a request's way at which something is decided. */
export enum DecisionStep {
  PLACED = 'placed',
  ATTEMPT_ENDED = 'attempt_ended',
  STREAM_RESUMED = 'stream_resumed',
  REFUSED = 'refused',
  ENDED = 'ended',
}

/** One decision about a request, with what led to it. */
export interface RequestDecision {
  readonly requestId: string;
  readonly step: DecisionStep;
  readonly route: string;
  readonly service: string;
  readonly model?: string;
  readonly upstream?: string;
  /** In-flight requests that the choice took for granted. */
  readonly load?: number;
  readonly waitedMilliseconds?: number;
  readonly attempts?: number;
  readonly outcome?: AttemptOutcome;
  readonly status?: number;
  readonly kind?: ErrorKind;
  readonly ran?: Ran;
  readonly retryAfterMilliseconds?: number;
  readonly end?: string;
  readonly elapsedMilliseconds?: number;
  readonly firstEventMilliseconds?: number;
  readonly longestPauseMilliseconds?: number;
  readonly reason?: string;
}
