import type {AnswerPeriod} from '../answer_period.js';
import type {StreamTimes} from '../proxy_dispatcher_options.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {remainingStreamMilliseconds} from '../routed_request_progress.js';

type RequestHolder = Pick<RoutedRequestProgress, 'request'>;

/** Share of its route's timeout that a stream of an unknown kind may take. */
const UNKNOWN_KIND_TIME_SHARE = 0.5;

/**
 * Time that a stream is likely to take once it has begun. A node that has just
 * started has seen none of its kind end.
 *
 * @param streamTimes undefined if the times of streams are not measured.
 */
export function expectedStreamMilliseconds(
  {request}: RequestHolder,
  streamTimes: Pick<StreamTimes, 'likelyMilliseconds'> | undefined,
): number | undefined {
  return (
    streamTimes &&
    (streamTimes.likelyMilliseconds(request) ??
      UNKNOWN_KIND_TIME_SHARE * request.route.timeoutMilliseconds)
  );
}

/**
 * Whether a stream whose first event has come is likely to end before its node
 * does. Begun without that, it would probably be cut; until it has begun, its
 * caller can still be told.
 *
 * @param expectedMilliseconds time that it is likely to take; undefined if that
 *     is not measured.
 */
export function canStillEnd(
  progress: RequestHolder,
  {endsAtMilliseconds}: AnswerPeriod,
  expectedMilliseconds: number | undefined,
): boolean {
  if (expectedMilliseconds === undefined) return true;
  const leftMilliseconds = endsAtMilliseconds - performance.now();
  const untilDeadline = remainingStreamMilliseconds(progress);
  return Math.min(expectedMilliseconds, untilDeadline) <= leftMilliseconds;
}
