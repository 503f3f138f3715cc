/**
 * The closed list of reasons for which a request is refused; the value is the
 * `code` in the body of the answer. Each kind needs a row in `ANSWER_TABLE`,
 * which the type checker enforces.
 */
export enum ErrorKind {
  BAD_REQUEST = 'bad_request',
  UNSUPPORTED_MEDIA_TYPE = 'unsupported_media_type',
  BODY_TOO_LARGE = 'body_too_large',
  HEADERS_TOO_LARGE = 'headers_too_large',
  REQUEST_TIMEOUT = 'request_timeout',
  UNAUTHENTICATED = 'unauthenticated',
  FORBIDDEN = 'forbidden',
  UNKNOWN_ROUTE = 'unknown_route',
  UNKNOWN_ENTRY = 'unknown_entry',
  KEY_REQUIRED = 'idempotency_key_required',
  KEY_REUSED = 'idempotency_key_reused',
  NOT_READY = 'not_ready',
  OVERLOADED = 'overloaded',
  QUEUE_FULL = 'queue_full',
  QUOTA_EXCEEDED = 'quota_exceeded',
  CONFIGURATION_UNCONFIRMED = 'configuration_unconfirmed',
  DEADLINE_UNREACHABLE = 'deadline_unreachable',
  NO_REPLICA = 'no_replica',
  STORE_UNAVAILABLE = 'store_unavailable',
  UPSTREAM_UNREACHABLE = 'upstream_unreachable',
  REQUEST_QUARANTINED = 'request_quarantined',
  STREAM_NOT_RESUMABLE = 'stream_not_resumable',
  RETRY_BUDGET_SPENT = 'retry_budget_spent',
  CLAIM_RUNNING = 'request_running',
  CLAIM_OUTCOME_UNKNOWN = 'request_may_have_run',
  CLAIM_ANSWER_NOT_KEPT = 'request_ran_answer_not_kept',
  UPSTREAM_BROKEN = 'upstream_broken',
  UPSTREAM_CRASHED = 'upstream_crashed',
  UPSTREAM_TIMED_OUT = 'upstream_timed_out',
  ANSWER_INCOMPLETE = 'answer_incomplete',
  CALLER_GONE = 'caller_gone',
  INTERNAL = 'internal',
}

/**
 * Whether the refused request ran at an upstream; the value is the `ran` field
 * of the answer.
 */
export enum ExecutionStatus {
  NOT_EXECUTED = 'no',
  POSSIBLY_EXECUTED = 'maybe',
  EXECUTED = 'yes',
}

/**
 * What a caller should do after a refusal; the value is the `retry` field of
 * the answer.
 */
export enum RetryAdvice {
  FIX_REQUEST = 'fix_request',
  RETRY_LATER = 'retry_later',
  RETRY_WITH_SAME_KEY = 'retry_with_same_key',
  DO_NOT_RETRY = 'do_not_retry',
}
