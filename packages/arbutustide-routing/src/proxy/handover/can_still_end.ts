import type {AnswerPeriod} from '../answer_period.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {remainingStreamMilliseconds} from '../routed_request_progress.js';

/**
 * Whether a stream whose first event has come is likely to end before its node
 * does. Begun without that, it would probably be cut; until it has begun, its
 * caller can still be told.
 *
 * @param likelyMilliseconds time that it is likely to take; undefined if that is
 *     not known.
 */
export function canStillEnd(
  progress: Pick<RoutedRequestProgress, 'request'>,
  {endsAtMilliseconds}: AnswerPeriod,
  likelyMilliseconds: number | undefined,
): boolean {
  if (likelyMilliseconds === undefined) return true;
  const leftMilliseconds = endsAtMilliseconds - performance.now();
  const untilDeadline = remainingStreamMilliseconds(progress);
  return Math.min(likelyMilliseconds, untilDeadline) <= leftMilliseconds;
}
