import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Queued} from './team_shares.js';

import {NoUpstreamReason} from '../choose_upstream.js';
import {effectivePriority} from '../routed_request.js';
import {competesWith} from './queue_position.js';

/** Identifies requests that the same upstreams can serve. */
export function requirementKey({
  request,
  origin,
}: RoutedRequestProgress): string {
  const {service, modelRequest} = request;
  const {model = '', adapter = ''} = modelRequest ?? {};
  return `${service}/${model}/${adapter}/${origin?.softwareVersion ?? ''}`;
}

/** Whether the left request is served before the right one. */
function precedes(
  left: RoutedRequestProgress,
  right: RoutedRequestProgress,
): boolean {
  const leftPriority = effectivePriority(left.request);
  const rightPriority = effectivePriority(right.request);
  if (leftPriority !== rightPriority) return leftPriority < rightPriority;
  return (
    left.request.deadlineAtMilliseconds < right.request.deadlineAtMilliseconds
  );
}

/** Number of requests, in order, that are served before this one. */
export function insertionIndex(
  queued: readonly Queued[],
  progress: RoutedRequestProgress,
): number {
  let low = 0;
  let high = queued.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (precedes(progress, queued[middle].progress)) high = middle;
    else low = middle + 1;
  }
  return low;
}

/** A copy of the requests, in order, with one more. */
export function insertInOrder<Item extends Queued>(
  queued: readonly Item[],
  item: Item,
): Item[] {
  const copy = [...queued];
  copy.splice(insertionIndex(queued, item.progress), 0, item);
  return copy;
}

/** A queued request, or one that is about to be. */
export interface Blocked extends Queued {
  /** Why it got no slot when it last looked for one. */
  readonly reason?: NoUpstreamReason;
}

/**
 * Whether a queued request may want the slot that this one could take. A retry
 * does not count, as it may not use the upstreams that it has tried.
 */
export function wantsSameSlot(
  {progress: other, reason}: Blocked,
  progress: RoutedRequestProgress,
): boolean {
  if (reason !== NoUpstreamReason.FULL || other.triedUpstreams.size > 0)
    return false;
  return competesWith(other, progress);
}

/**
 * Whether a request that may want the same slot is served before.
 *
 * @param arranged requests in the order of service, with this one.
 */
export function hasEarlierRequest(
  arranged: readonly Blocked[],
  progress: RoutedRequestProgress,
): boolean {
  for (const other of arranged) {
    if (other.progress === progress) return false;
    if (wantsSameSlot(other, progress)) return true;
  }
  return false;
}
