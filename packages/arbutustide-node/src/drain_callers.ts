import type {CallerConnections} from './caller_connections.js';

import {delay} from '@arbutustide/errors';

import {waitUntilIdle} from './wait_until_idle.js';

/** Longer than most connections count as busy after an answer. */
const SETTLE_MILLISECONDS = 1_500;
const POLL_MILLISECONDS = 20;

/** What the drain of a node's callers waits for. */
export interface CallerDrain {
  readonly connections: CallerConnections;
  readonly deadlineAtMilliseconds: number;
  /** Whether the node has work that did not come from its callers. */
  readonly isBusyElsewhere?: () => boolean;
}

/**
 * Waits for the requests that have arrived by now and then, for a short time at
 * most, until nothing comes any more. Call it when the node refuses what comes
 * from now on; callers that go on sending do not delay the end.
 */
export async function drainCallers({
  connections,
  deadlineAtMilliseconds,
  isBusyElsewhere = () => false,
}: CallerDrain): Promise<void> {
  const beganAt = performance.now();
  while (
    (connections.isServingSince(beganAt) || isBusyElsewhere()) &&
    performance.now() < deadlineAtMilliseconds
  ) {
    await delay(POLL_MILLISECONDS);
  }
  const settledAt = performance.now() + SETTLE_MILLISECONDS;
  await waitUntilIdle(
    () => connections.isBusy || isBusyElsewhere(),
    Math.min(settledAt, deadlineAtMilliseconds),
  );
}
