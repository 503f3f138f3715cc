import type {RequestProgress} from './request_progress.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

/** Triggers that cancel the attempts of a request. */
export interface CancelTriggers {
  /** Disarms the deadline, which a stream that has begun may exceed. */
  disarmDeadline(): void;
  /** Disarms all triggers. */
  disarm(): void;
}

/**
 * Cancels the attempts when the caller disconnects or the deadline passes. A
 * request that must not be repeated continues after its caller disconnects, so
 * that its outcome becomes known.
 */
export function armCancelTriggers(progress: RequestProgress): CancelTriggers {
  const {request, isRepeatable, cancellation} = progress;
  const cancelOnDisconnection = () =>
    cancellation.cancel(
      new AttemptError(AttemptFailure.CANCELLED, 'the caller went away'),
    );
  const unsubscribe = isRepeatable
    ? request.disconnection.onCancel(cancelOnDisconnection)
    : () => {};
  const untilDeadlineMilliseconds =
    request.deadlineAtMilliseconds - performance.now();
  const timer = setTimeout(
    () =>
      cancellation.cancel(
        new AttemptError(
          AttemptFailure.INACTIVITY_TIMEOUT,
          'the deadline has passed',
        ),
      ),
    Math.max(0, untilDeadlineMilliseconds),
  );
  const disarmDeadline = () => clearTimeout(timer);
  return {
    disarmDeadline,
    disarm: () => {
      disarmDeadline();
      unsubscribe();
    },
  };
}
