import type {Cancellation} from '@arbutustide/errors';

import type {RoutedRequestProgress} from './routed_request_progress.js';

import {CancelReason} from './proxy_refusals.js';
import {
  remainingMilliseconds,
  remainingStreamMilliseconds,
} from './routed_request_progress.js';

/** Resolves when the request is cancelled. */
export function untilCancelled({
  cancellation,
}: RoutedRequestProgress): Promise<undefined> {
  return new Promise(resolve => {
    cancellation.onCancel(() => resolve(undefined));
  });
}

/**
 * Cancels the request when the caller disconnects, the deadline passes or this
 * node gives its requests up. A stream that has begun by the deadline is not cut
 * before it has certainly passed: it can be seconds later on a host that is
 * behind.
 *
 * @param shutdown cancelled when this node cannot wait any longer.
 * @return stops all triggers.
 */
export function cancelOnTriggers(
  progress: RoutedRequestProgress,
  shutdown: Cancellation,
): () => void {
  const {request, cancellation: cancel} = progress;
  const cancelAtDeadline = () => cancel.cancel(CancelReason.DEADLINE);
  let timer = setTimeout(
    () => {
      const remaining = progress.hasStreamBegun
        ? remainingStreamMilliseconds(progress)
        : 0;
      if (remaining > 0) timer = setTimeout(cancelAtDeadline, remaining);
      else cancelAtDeadline();
    },
    Math.max(0, remainingMilliseconds(progress)),
  );
  const removeCancelListener = request.disconnection.onCancel(() =>
    cancel.cancel(CancelReason.CALLER_GONE),
  );
  const removeShutdownListener = shutdown.onCancel(() =>
    cancel.cancel(CancelReason.STOPPING),
  );
  return () => {
    clearTimeout(timer);
    removeShutdownListener();
    removeCancelListener();
  };
}
