import type {FailedAttempt} from './attempt_runner.js';
import type {RequestProgress} from './request_progress.js';

import {ErrorKind, ExecutionStatus, RefusalError} from '@arbutustide/errors';
import {AttemptFailure} from '@arbutustide/upstream';

import {ranStatus} from './request_progress.js';

const KIND_BY_FAILURE: Readonly<Record<AttemptFailure, ErrorKind>> = {
  [AttemptFailure.NOT_CONNECTED]: ErrorKind.UPSTREAM_UNREACHABLE,
  [AttemptFailure.CONNECTION_LOST]: ErrorKind.UPSTREAM_BROKEN,
  [AttemptFailure.INACTIVITY_TIMEOUT]: ErrorKind.UPSTREAM_TIMED_OUT,
  [AttemptFailure.NOT_SENT]: ErrorKind.DEADLINE_UNREACHABLE,
  [AttemptFailure.CANCELLED]: ErrorKind.CALLER_GONE,
  [AttemptFailure.PROTOCOL_VIOLATION]: ErrorKind.ANSWER_INCOMPLETE,
};

/** Refuses a request whose last allowed attempt has failed. */
export function failureRefusal(
  progress: RequestProgress,
  failed: FailedAttempt,
): RefusalError {
  if (failed.isCrash) return crashRefusal(progress);
  const {failure} = failed.error;
  const hasCallerLeft =
    failure === AttemptFailure.NOT_SENT &&
    progress.request.disconnection.isCancelled;
  const kind = failed.isRejected
    ? ErrorKind.UPSTREAM_UNREACHABLE
    : hasCallerLeft
      ? ErrorKind.CALLER_GONE
      : KIND_BY_FAILURE[failure];
  return new RefusalError(kind, failed.error.message, {
    ran: ranStatus(progress),
  });
}

/** Refuses a request that was in flight when an upstream crashed. */
export function crashRefusal(progress: RequestProgress): RefusalError {
  return new RefusalError(
    ErrorKind.UPSTREAM_CRASHED,
    'an upstream crashed while it ran this request',
    {ran: ranStatus(progress)},
  );
}

/** Refuses a request because no upstream accepts it. */
export function noReplicaRefusal(progress: RequestProgress): RefusalError {
  const {name} = progress.request.entry;
  return new RefusalError(
    ErrorKind.NO_REPLICA,
    `no upstream that accepts new work holds ${name}`,
    {ran: ranStatus(progress)},
  );
}

/** Refuses a request whose deadline has passed. */
export function deadlineRefusal(progress: RequestProgress): RefusalError {
  return new RefusalError(
    ErrorKind.DEADLINE_UNREACHABLE,
    'the deadline has passed',
    {ran: ranStatus(progress)},
  );
}

/** Refuses a request that is quarantined because upstreams crashed. */
export function quarantineRefusal(
  ran = ExecutionStatus.NOT_EXECUTED,
): RefusalError {
  return new RefusalError(
    ErrorKind.REQUEST_QUARANTINED,
    'upstreams crashed each time this request, or one with a part of its prompt, ran',
    {ran},
  );
}
