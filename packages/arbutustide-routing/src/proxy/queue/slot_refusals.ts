import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';

import {NoUpstreamReason} from '../choose_upstream.js';
import {givenUpRefusal, isGivenUp} from '../proxy_refusals.js';
import {ranSoFar} from '../routed_request_progress.js';

/** Retry-after of a refusal when the wait cannot be predicted. */
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

const ERROR_KIND_BY_REASON: Readonly<Record<NoUpstreamReason, ErrorKind>> = {
  [NoUpstreamReason.NOT_HELD]: ErrorKind.NO_REPLICA,
  [NoUpstreamReason.UNREACHABLE]: ErrorKind.UPSTREAM_UNREACHABLE,
  [NoUpstreamReason.FULL]: ErrorKind.DEADLINE_UNREACHABLE,
  [NoUpstreamReason.RATE_LIMITED]: ErrorKind.DEADLINE_UNREACHABLE,
};

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
  if (isGivenUp(progress)) return givenUpRefusal(progress);
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
