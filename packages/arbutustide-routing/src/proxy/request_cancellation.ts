import type {RoutedRequestProgress} from './routed_request_progress.js';

import {CancelReason} from './proxy_refusals.js';
import {remainingMilliseconds} from './routed_request_progress.js';

/** Resolves when the request is cancelled. */
export function untilCancelled({
  cancellation,
}: RoutedRequestProgress): Promise<undefined> {
  return new Promise(resolve => {
    cancellation.onCancel(() => resolve(undefined));
  });
}

/**
 * Cancels the request when the caller disconnects or the deadline passes.
 *
 * @return stops both triggers.
 */
export function cancelOnDisconnectOrDeadline(
  progress: RoutedRequestProgress,
): () => void {
  const {request, cancellation: cancel} = progress;
  const timer = setTimeout(
    () => cancel.cancel(CancelReason.DEADLINE),
    Math.max(0, remainingMilliseconds(progress)),
  );
  const removeCancelListener = request.disconnection.onCancel(() =>
    cancel.cancel(CancelReason.CALLER_GONE),
  );
  return () => {
    clearTimeout(timer);
    removeCancelListener();
  };
}
