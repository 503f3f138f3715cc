import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Queued} from './team_shares.js';

import {effectivePriority} from '../routed_request.js';

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

/**
 * Whether a request that needs the same is served before. A retry does not
 * count, as it may not use the upstreams that it has tried.
 *
 * @param arranged requests in the order of service, with this one.
 */
export function hasEarlierRequest(
  arranged: readonly Queued[],
  progress: RoutedRequestProgress,
): boolean {
  const requirement = requirementKey(progress);
  for (const {progress: other} of arranged) {
    if (other === progress) return false;
    if (other.triedUpstreams.size > 0) continue;
    if (requirementKey(other) === requirement) return true;
  }
  return false;
}
