import type {RequestProgress} from './request_progress.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

/** Cancels the attempts of a request when its time is over. */
export interface CallerWatch {
  /** A stream that has begun may pass the deadline. */
  stopDeadline(): void;
  stop(): void;
}

/**
 * Cancels the attempts when the caller goes away or the deadline passes. A
 * request that may not be repeated runs on when its caller goes, so that its
 * outcome is known.
 */
export function watchCaller(progress: RequestProgress): CallerWatch {
  const {request, isRepeatable, cancel} = progress;
  const leave = () =>
    cancel.cancel(
      new AttemptError(AttemptFailure.CANCELLED, 'the caller went away'),
    );
  const forget = isRepeatable ? request.presence.onCancel(leave) : () => {};
  const untilDeadline = request.deadlineAtMilliseconds - performance.now();
  const timer = setTimeout(
    () =>
      cancel.cancel(
        new AttemptError(AttemptFailure.SILENT, 'the deadline has passed'),
      ),
    Math.max(0, untilDeadline),
  );
  const stopDeadline = () => clearTimeout(timer);
  return {
    stopDeadline,
    stop: () => {
      stopDeadline();
      forget();
    },
  };
}
