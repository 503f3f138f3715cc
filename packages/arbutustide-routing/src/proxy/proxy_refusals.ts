import type {AttemptResult} from './run_attempt.js';
import type {RoutedRequest} from './routed_request.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';

import {
  createStoppingRefusal,
  ErrorKind,
  ExecutionStatus,
  RefusalError,
} from '@arbutustide/errors';
import {AttemptFailure} from '@arbutustide/upstream';

import {ranSoFar} from './routed_request_progress.js';
import {UnknownOriginReason} from './stream_origin/stream_origin.js';

/** Why this node aborted a request. */
export enum CancelReason {
  CALLER_GONE = 'the caller went away',
  DEADLINE = 'the deadline has passed',
  STOPPING = 'this node stops and cannot wait for the upstream any longer',
}

/** Time until nodes know which upstreams can serve the request. */
const NOT_RUN_RETRY_AFTER_MILLISECONDS = 300;

const REFUSAL_KIND_BY_FAILURE: Readonly<Record<AttemptFailure, ErrorKind>> = {
  [AttemptFailure.NOT_CONNECTED]: ErrorKind.UPSTREAM_UNREACHABLE,
  [AttemptFailure.CONNECTION_LOST]: ErrorKind.UPSTREAM_BROKEN,
  [AttemptFailure.INACTIVITY_TIMEOUT]: ErrorKind.UPSTREAM_TIMED_OUT,
  [AttemptFailure.NOT_SENT]: ErrorKind.DEADLINE_UNREACHABLE,
  [AttemptFailure.CANCELLED]: ErrorKind.UPSTREAM_TIMED_OUT,
  [AttemptFailure.PROTOCOL_VIOLATION]: ErrorKind.ANSWER_INCOMPLETE,
};

/** Refuses a request whose last attempt was not answered. */
export function failedAttemptRefusal(
  progress: RoutedRequestProgress,
  attempt: AttemptResult,
): RefusalError {
  const {request} = progress;
  const ran = ranSoFar(progress);
  if (request.disconnection.isCancelled) {
    return new RefusalError(ErrorKind.CALLER_GONE, CancelReason.CALLER_GONE, {
      ran,
    });
  }
  if (isGivenUp(progress)) return givenUpRefusal(progress);
  if (attempt.error) {
    const kind = REFUSAL_KIND_BY_FAILURE[attempt.error.failure];
    return new RefusalError(kind, attempt.error.message, {ran});
  }
  return new RefusalError(
    ErrorKind.DEADLINE_UNREACHABLE,
    `${request.service} did not serve the request: outcome ${attempt.outcome}`,
    {ran, retryAfterMilliseconds: NOT_RUN_RETRY_AFTER_MILLISECONDS},
  );
}

/**
 * The refusal of a peer or of the gate, as the caller may see it: its "not run"
 * holds for the latest attempt only, and an earlier one may have run.
 */
export function withRanSoFar(
  {mayHaveRun}: RoutedRequestProgress,
  refusal: RefusalError,
): RefusalError {
  const {kind, message, ran, retryAfterMilliseconds} = refusal;
  if (!mayHaveRun || ran !== ExecutionStatus.NOT_EXECUTED) return refusal;
  return new RefusalError(kind, message, {
    ran: ExecutionStatus.POSSIBLY_EXECUTED,
    retryAfterMilliseconds,
  });
}

/** Whether the request was cancelled because this node stops. */
export function isGivenUp({cancellation}: RoutedRequestProgress): boolean {
  return cancellation.cancelReason === CancelReason.STOPPING;
}

/**
 * Refuses a request that was cancelled because this node stops. A peer that has
 * passed it on is told so, as it may send a repeatable one elsewhere.
 */
export function givenUpRefusal(progress: RoutedRequestProgress): RefusalError {
  const ran = ranSoFar(progress);
  if (ran === ExecutionStatus.NOT_EXECUTED || progress.isRelayed)
    return createStoppingRefusal(ran);
  const {STOPPING} = CancelReason;
  return new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, STOPPING, {ran});
}

/** Refuses a stream that begins too late to end before its node does. */
export function tooLateRefusal(): RefusalError {
  const reason = 'this node stops before the stream is likely to end';
  const ran = ExecutionStatus.POSSIBLY_EXECUTED;
  return new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, reason, {ran});
}

/**
 * Refuses a stream that its upstream has broken off before its first event,
 * although the head of its answer had come.
 */
export function unbegunStreamRefusal(
  progress: RoutedRequestProgress,
): RefusalError {
  const {request, cancellation} = progress;
  const ran = ExecutionStatus.POSSIBLY_EXECUTED;
  if (request.disconnection.isCancelled)
    return new RefusalError(ErrorKind.CALLER_GONE, CancelReason.CALLER_GONE);
  if (isGivenUp(progress)) return givenUpRefusal(progress);
  if (cancellation.isCancelled) {
    const reason = String(cancellation.cancelReason);
    return new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, reason, {ran});
  }
  const reason = 'the stream broke off before its first event';
  return new RefusalError(ErrorKind.UPSTREAM_BROKEN, reason, {ran});
}

/** Refuses a request that was cancelled before it was sent. */
export function cancelledRefusal(
  progress: RoutedRequestProgress,
): RefusalError {
  const {request} = progress;
  if (isGivenUp(progress)) return givenUpRefusal(progress);
  const [kind, message] = request.disconnection.isCancelled
    ? [ErrorKind.CALLER_GONE, CancelReason.CALLER_GONE]
    : [ErrorKind.DEADLINE_UNREACHABLE, CancelReason.DEADLINE];
  return new RefusalError(kind, message, {ran: ExecutionStatus.NOT_EXECUTED});
}

const UNKNOWN_ORIGIN_TEXT: Readonly<Record<UnknownOriginReason, string>> = {
  [UnknownOriginReason.SEVERAL_VERSIONS]:
    'its upstreams have or had several software versions, and it is unknown at which the stream began',
  [UnknownOriginReason.UNCONFIRMED_VERSIONS]:
    'the software versions at which the stream may have begun cannot be read now',
  [UnknownOriginReason.OTHER_SERVICE]: 'the stream began at another service',
};

/** Refuses to resume a stream that may have begun at another version. */
export function unknownOriginRefusal(
  {service}: RoutedRequest,
  reason: UnknownOriginReason,
): RefusalError {
  return new RefusalError(
    ErrorKind.STREAM_NOT_RESUMABLE,
    `${service} cannot resume the stream: ${UNKNOWN_ORIGIN_TEXT[reason]}`,
  );
}
