import {ErrorKind, Ran, RetryAdvice} from './error_kind.js';

/** How one error kind is answered. */
export interface AnswerRow {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran, before anything more specific is known. */
  readonly ran: Ran;
  readonly advice: RetryAdvice;
  /** Delay named in `Retry-After`, in milliseconds; absent for no header. */
  readonly retryAfterMilliseconds?: number;
}

const {FIX_REQUEST, RETRY_LATER, RETRY_WITH_SAME_KEY, DO_NOT_RETRY} =
  RetryAdvice;

/** A refusal that is the caller's to mend; nothing ran. */
function invalid(status: number): AnswerRow {
  return {status, ran: Ran.NO, advice: FIX_REQUEST};
}

/** A refusal of a request that was not run and may be sent again later. */
function later(status: number, retryAfterMilliseconds: number): AnswerRow {
  return {status, ran: Ran.NO, advice: RETRY_LATER, retryAfterMilliseconds};
}

/** The one table from error kind to answer. */
export const ANSWER_TABLE: Readonly<Record<ErrorKind, AnswerRow>> = {
  [ErrorKind.BAD_REQUEST]: invalid(400),
  [ErrorKind.UNSUPPORTED_MEDIA_TYPE]: invalid(415),
  [ErrorKind.BODY_TOO_LARGE]: invalid(413),
  [ErrorKind.HEADERS_TOO_LARGE]: invalid(431),
  [ErrorKind.REQUEST_TIMEOUT]: invalid(408),
  [ErrorKind.UNAUTHENTICATED]: invalid(401),
  [ErrorKind.FORBIDDEN]: invalid(403),
  [ErrorKind.UNKNOWN_ROUTE]: invalid(404),
  [ErrorKind.UNKNOWN_ENTRY]: invalid(404),
  [ErrorKind.KEY_REQUIRED]: invalid(400),
  [ErrorKind.KEY_REUSED]: invalid(422),
  [ErrorKind.NOT_READY]: later(503, 1_000),
  [ErrorKind.QUEUE_FULL]: later(429, 1_000),
  [ErrorKind.DEADLINE_UNREACHABLE]: later(503, 2_000),
  [ErrorKind.NO_REPLICA]: later(503, 2_000),
  [ErrorKind.STORE_UNAVAILABLE]: later(503, 5_000),
  [ErrorKind.UPSTREAM_UNREACHABLE]: later(503, 1_000),
  [ErrorKind.RETRY_BUDGET_SPENT]: later(503, 2_000),
  [ErrorKind.REQUEST_QUARANTINED]: {
    status: 503,
    ran: Ran.NO,
    advice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_RUNNING]: {
    status: 409,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
    retryAfterMilliseconds: 1_000,
  },
  [ErrorKind.CLAIM_OUTCOME_UNKNOWN]: {
    status: 409,
    ran: Ran.MAYBE,
    advice: DO_NOT_RETRY,
  },
  [ErrorKind.CLAIM_ANSWER_NOT_KEPT]: {
    status: 409,
    ran: Ran.YES,
    advice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_BROKEN]: {
    status: 502,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.UPSTREAM_CRASHED]: {
    status: 502,
    ran: Ran.MAYBE,
    advice: DO_NOT_RETRY,
  },
  [ErrorKind.UPSTREAM_TIMED_OUT]: {
    status: 504,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.ANSWER_INCOMPLETE]: {
    status: 502,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.CALLER_GONE]: {
    status: 499,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
  },
  [ErrorKind.INTERNAL]: {
    status: 500,
    ran: Ran.MAYBE,
    advice: RETRY_WITH_SAME_KEY,
  },
};
