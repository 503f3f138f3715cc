import type {InputMonitor, TurnQueue} from '@arbutustide/event-loop';

import {delay} from '@arbutustide/errors';
import {inputMonitor, turnQueue} from '@arbutustide/event-loop';

/**
 * Turns of the event loop without work. A connection is accepted in one turn and
 * its request is read in a later one.
 */
const IDLE_TURNS = 4;
const POLL_MILLISECONDS = 20;

/** The event loop that reads the input. */
export interface InputLoop {
  readonly turnQueue: Pick<TurnQueue, 'nextTurn'>;
  readonly inputMonitor: Pick<InputMonitor, 'lastTurn'>;
}

/**
 * Waits until there is no work and no input from which work could come: until
 * nothing was in flight and no connection came over a few whole turns of the
 * event loop.
 *
 * @param isBusy whether anything is in flight.
 * @return whether this was reached before the deadline.
 */
export async function waitUntilIdle(
  isBusy: () => boolean,
  deadlineAtMilliseconds: number,
  loop: InputLoop = {turnQueue, inputMonitor},
): Promise<boolean> {
  let idleTurns = 0;
  while (performance.now() < deadlineAtMilliseconds) {
    if (isBusy()) {
      idleTurns = 0;
      await delay(POLL_MILLISECONDS);
      continue;
    }
    if (idleTurns >= IDLE_TURNS) return true;
    await loop.turnQueue.nextTurn();
    const {hasAccepted} = loop.inputMonitor.lastTurn;
    idleTurns = hasAccepted ? 0 : idleTurns + 1;
  }
  return false;
}
