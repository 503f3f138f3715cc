import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Queued} from './team_shares.js';

import {effectivePriority} from '../routed_request.js';

/** How the order of service treats a request besides its priority. */
export enum Standing {
  USUAL = 'usual',
  /** Its priority is starved and precedes more urgent ones for now. */
  FAVOURED = 'favoured',
  /** It cannot meet its objective and is served after those that can. */
  LATE = 'late',
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

/** Where a request stands among the queued ones that compete with it. */
export interface QueuePosition {
  readonly standing: Standing;
  /** Requests that are served before. */
  readonly ahead: number;
  /** The part of the requests of its own priority that is served before. */
  readonly aheadShareInPriority: number;
}

/**
 * Finds the position of a request.
 *
 * @param arranged the queued requests in the order of service, with this one.
 */
export function findPosition(
  progress: RoutedRequestProgress,
  arranged: readonly Queued[],
  standing: Standing,
): QueuePosition {
  const priority = effectivePriority(progress.request);
  let ahead = 0;
  let inPriority = 0;
  let aheadInPriority = 0;
  let isAhead = true;
  for (const {progress: other} of arranged) {
    if (other === progress) {
      isAhead = false;
      continue;
    }
    if (!competesWith(progress, other)) continue;
    if (isAhead) ahead += 1;
    if (effectivePriority(other.request) !== priority) continue;
    inPriority += 1;
    if (isAhead) aheadInPriority += 1;
  }
  // Half of them while none is queued to tell by.
  const aheadShareInPriority = (aheadInPriority + 0.5) / (inPriority + 1);
  return {standing, ahead, aheadShareInPriority};
}
