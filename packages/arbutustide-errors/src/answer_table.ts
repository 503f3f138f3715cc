import {ErrorKind, ExecutionStatus, RetryAdvice} from './error_kind.js';

/** The HTTP answer to a refusal of one error kind. */
export interface AnswerTableRow {
  /** HTTP status code. */
  readonly status: number;
  /** Default for whether the request ran; a `RefusalError` may override it. */
  readonly ran: ExecutionStatus;
  readonly retryAdvice: RetryAdvice;
  /** Default of the `Retry-After` header; no header if absent. */
  readonly retryAfterMilliseconds?: number;
}

const {FIX_REQUEST, RETRY_LATER, RETRY_WITH_SAME_KEY, DO_NOT_RETRY} =
  RetryAdvice;

/** The caller must change the request; it was not run. */
function fixRequestRow(status: number): AnswerTableRow {
  return {status, ran: ExecutionStatus.NOT_EXECUTED, retryAdvice: FIX_REQUEST};
}

/** The request was not run; the caller may resend it after a delay. */
function retryLaterRow(
  status: number,
  retryAfterMilliseconds: number,
): AnswerTableRow {
  return {
    status,
    ran: ExecutionStatus.NOT_EXECUTED,
    retryAdvice: RETRY_LATER,
    retryAfterMilliseconds,
  };
}

/** The answer for each error kind, from which every refusal is built. */
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
  [ErrorKind.OVERLOADED]: retryLaterRow(503, 1_000),
  [ErrorKind.QUEUE_FULL]: retryLaterRow(429, 1_000),
  [ErrorKind.QUOTA_EXCEEDED]: retryLaterRow(429, 1_000),
  [ErrorKind.CONFIGURATION_UNCONFIRMED]: retryLaterRow(503, 500),
  [ErrorKind.DEADLINE_UNREACHABLE]: retryLaterRow(503, 2_000),
  [ErrorKind.NO_REPLICA]: retryLaterRow(503, 2_000),
  [ErrorKind.STORE_UNAVAILABLE]: retryLaterRow(503, 5_000),
  [ErrorKind.UPSTREAM_UNREACHABLE]: retryLaterRow(503, 1_000),
  [ErrorKind.RETRY_BUDGET_SPENT]: retryLaterRow(503, 2_000),
  [ErrorKind.STREAM_NOT_RESUMABLE]: retryLaterRow(503, 500),
  [ErrorKind.REQUEST_QUARANTINED]: {
    status: 503,
    ran: ExecutionStatus.NOT_EXECUTED,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_RUNNING]: {
    status: 409,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
    retryAfterMilliseconds: 1_000,
  },
  [ErrorKind.CLAIM_OUTCOME_UNKNOWN]: {
    status: 409,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_ANSWER_NOT_KEPT]: {
    status: 409,
    ran: ExecutionStatus.EXECUTED,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_BROKEN]: {
    status: 502,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.UPSTREAM_CRASHED]: {
    status: 502,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_TIMED_OUT]: {
    status: 504,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.ANSWER_INCOMPLETE]: {
    status: 502,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.CALLER_GONE]: {
    status: 499,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.INTERNAL]: {
    status: 500,
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAdvice: RETRY_WITH_SAME_KEY,
  },
};
