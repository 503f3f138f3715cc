import {ErrorKind, Ran, RetryAdvice} from './error_kind.js';

/** How one error kind is answered. */
export interface AnswerTableRow {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran, before anything more specific is known. */
  readonly ran: Ran;
  readonly retryAdvice: RetryAdvice;
  /** Delay named in `Retry-After`, in milliseconds; absent for no header. */
  readonly retryAfterMilliseconds?: number;
}

const {FIX_REQUEST, RETRY_LATER, RETRY_WITH_SAME_KEY, DO_NOT_RETRY} =
  RetryAdvice;

/** A refusal that is the caller's to mend; nothing ran. */
function fixRequestRow(status: number): AnswerTableRow {
  return {status, ran: Ran.NO, retryAdvice: FIX_REQUEST};
}

/** A refusal of a request that was not run and may be sent again later. */
function retryLaterRow(
  status: number,
  retryAfterMilliseconds: number,
): AnswerTableRow {
  return {
    status,
    ran: Ran.NO,
    retryAdvice: RETRY_LATER,
    retryAfterMilliseconds,
  };
}

/** The one table from error kind to answer. */
export const ANSWER_TABLE: Readonly<Record<ErrorKind, AnswerTableRow>> = {
  [ErrorKind.BAD_REQUEST]: fixRequestRow(400),
  [ErrorKind.UNSUPPORTED_MEDIA_TYPE]: fixRequestRow(415),
  [ErrorKind.BODY_TOO_LARGE]: fixRequestRow(413),
  [ErrorKind.HEADERS_TOO_LARGE]: fixRequestRow(431),
  [ErrorKind.REQUEST_TIMEOUT]: fixRequestRow(408),
  [ErrorKind.UNAUTHENTICATED]: fixRequestRow(401),
  [ErrorKind.FORBIDDEN]: fixRequestRow(403),
  [ErrorKind.UNKNOWN_ROUTE]: fixRequestRow(404),
  [ErrorKind.UNKNOWN_ENTRY]: fixRequestRow(404),
  [ErrorKind.KEY_REQUIRED]: fixRequestRow(400),
  [ErrorKind.KEY_REUSED]: fixRequestRow(422),
  [ErrorKind.NOT_READY]: retryLaterRow(503, 1_000),
  [ErrorKind.QUEUE_FULL]: retryLaterRow(429, 1_000),
  [ErrorKind.DEADLINE_UNREACHABLE]: retryLaterRow(503, 2_000),
  [ErrorKind.NO_REPLICA]: retryLaterRow(503, 2_000),
  [ErrorKind.STORE_UNAVAILABLE]: retryLaterRow(503, 5_000),
  [ErrorKind.UPSTREAM_UNREACHABLE]: retryLaterRow(503, 1_000),
  [ErrorKind.RETRY_BUDGET_SPENT]: retryLaterRow(503, 2_000),
  [ErrorKind.REQUEST_QUARANTINED]: {
    status: 503,
    ran: Ran.NO,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_RUNNING]: {
    status: 409,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
    retryAfterMilliseconds: 1_000,
  },
  [ErrorKind.CLAIM_OUTCOME_UNKNOWN]: {
    status: 409,
    ran: Ran.MAYBE,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_ANSWER_NOT_KEPT]: {
    status: 409,
    ran: Ran.YES,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_BROKEN]: {
    status: 502,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.UPSTREAM_CRASHED]: {
    status: 502,
    ran: Ran.MAYBE,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_TIMED_OUT]: {
    status: 504,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.ANSWER_INCOMPLETE]: {
    status: 502,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.CALLER_GONE]: {
    status: 499,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.INTERNAL]: {
    status: 500,
    ran: Ran.MAYBE,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
};
