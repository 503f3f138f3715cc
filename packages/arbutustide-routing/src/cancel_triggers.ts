import type {RequestProgress} from './request_progress.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

/** Cancels the attempts of a request when its time is over. */
export interface CancelTriggers {
  /** A stream that has begun may pass the deadline. */
  disarmDeadline(): void;
  disarm(): void;
}

/**
 * Cancels the attempts when the caller goes away or the deadline passes. A
 * request that may not be repeated runs on when its caller goes, so that its
 * outcome is known.
 */
export function armCancelTriggers(progress: RequestProgress): CancelTriggers {
  const {request, isRepeatable, cancel} = progress;
  const cancelOnDisconnection = () =>
    cancel.cancel(
      new AttemptError(AttemptFailure.CANCELLED, 'the caller went away'),
    );
  const unsubscribe = isRepeatable
    ? request.presence.onCancel(cancelOnDisconnection)
    : () => {};
  const untilDeadlineMilliseconds =
    request.deadlineAtMilliseconds - performance.now();
  const timer = setTimeout(
    () =>
      cancel.cancel(
        new AttemptError(AttemptFailure.SILENT, 'the deadline has passed'),
      ),
    Math.max(0, untilDeadlineMilliseconds),
  );
  const disarmDeadline = () => clearTimeout(timer);
  return {
    disarmDeadline: disarmDeadline,
    disarm: () => {
      disarmDeadline();
      unsubscribe();
    },
  };
}
