import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';

import {NoUpstreamReason} from '../choose_upstream.js';
import {ranSoFar} from '../routed_request_progress.js';

/** Short, because another node can take the request at once. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 100;

/** Retry-after of a refusal when the wait cannot be predicted. */
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

const ERROR_KIND_BY_REASON: Readonly<Record<NoUpstreamReason, ErrorKind>> = {
  [NoUpstreamReason.NOT_HELD]: ErrorKind.NO_REPLICA,
  [NoUpstreamReason.UNREACHABLE]: ErrorKind.UPSTREAM_UNREACHABLE,
  [NoUpstreamReason.FULL]: ErrorKind.DEADLINE_UNREACHABLE,
  [NoUpstreamReason.RATE_LIMITED]: ErrorKind.DEADLINE_UNREACHABLE,
};

/** Refuses a request that waits at a node which stops. */
export function createStoppingRefusal(
  progress: RoutedRequestProgress,
): RefusalError {
  return new RefusalError(ErrorKind.NOT_READY, 'this node is about to stop', {
    ran: ranSoFar(progress),
    retryAfterMilliseconds: STOPPING_RETRY_AFTER_MILLISECONDS,
  });
}

/**
 * Refuses a request that gets no slot in time.
 *
 * @param wait time until there is room, in milliseconds; undefined if unknown.
 */
export function createNoSlotRefusal(
  progress: RoutedRequestProgress,
  reason: NoUpstreamReason,
  wait: number | undefined,
): RefusalError {
  const {request} = progress;
  return new RefusalError(
    ERROR_KIND_BY_REASON[reason],
    `no slot at ${request.service} is available in time: ${reason}`,
    {
      ran: ranSoFar(progress),
      retryAfterMilliseconds: wait || DEFAULT_RETRY_AFTER_MILLISECONDS,
    },
  );
}
