import type {RoutedRequestProgress} from '../routed_request_progress.js';

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

/**
 * Whether two requests wait for the same upstreams' slots. The adapters of a
 * model are at the upstreams that hold it.
 */
export function competesWith(
  {request: left}: RoutedRequestProgress,
  {request: right}: RoutedRequestProgress,
): boolean {
  return (
    left.service === right.service &&
    left.modelRequest?.model === right.modelRequest?.model
  );
}

/** Whether the left request is served before the right one. */
export function precedes(
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

/** Where a request stands among the queued ones that compete with it. */
export interface QueuePosition {
  /** Requests that are served before. */
  readonly ahead: number;
  /** The part of the requests of its own priority that is served before. */
  readonly aheadShareInPriority: number;
}

/**
 * Finds the position of a request.
 *
 * @param index number of queued requests, in order, that are served before.
 */
export function findPosition(
  progress: RoutedRequestProgress,
  queued: readonly {readonly progress: RoutedRequestProgress}[],
  index: number,
): QueuePosition {
  const priority = effectivePriority(progress.request);
  let ahead = 0;
  let inPriority = 0;
  let aheadInPriority = 0;
  for (const [position, other] of queued.entries()) {
    if (other.progress === progress) continue;
    if (!competesWith(progress, other.progress)) continue;
    const isAhead = position < index;
    if (isAhead) ahead += 1;
    if (effectivePriority(other.progress.request) !== priority) continue;
    inPriority += 1;
    if (isAhead) aheadInPriority += 1;
  }
  // Half of them while none is queued to tell by.
  const aheadShareInPriority = (aheadInPriority + 0.5) / (inPriority + 1);
  return {ahead, aheadShareInPriority};
}
