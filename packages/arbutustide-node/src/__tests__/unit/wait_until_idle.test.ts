// Guards against a stop that takes one moment without requests for the end.
import type {InputLoop} from '../../wait_until_idle.js';

import {expect} from 'chai';

import {waitUntilIdle} from '../../wait_until_idle.js';

/** Many more turns than are needed without work. */
const TURNS = 50;

describe('waiting until a stopping node is idle', () => {
  let turns: number;
  let accepts: (turn: number) => boolean;
  const loop: InputLoop = {
    turnQueue: {
      nextTurn: async () => {
        turns += 1;
        return performance.now();
      },
    },
    inputMonitor: {
      get lastTurn() {
        return {
          pollCount: turns,
          polledAtMilliseconds: performance.now(),
          hasAccepted: accepts(turns),
          activeMilliseconds: 0,
        };
      },
    },
  };
  const later = () => performance.now() + 1_000;

  beforeEach(() => {
    turns = 0;
    accepts = () => false;
  });

  it('takes more than one turn of the event loop without work', async () => {
    expect(await waitUntilIdle(() => false, later(), loop)).to.equal(true);
    expect(turns).to.be.within(2, TURNS);
  });

  it('begins anew after a turn that accepted a connection', async () => {
    accepts = turn => turn <= TURNS;
    expect(await waitUntilIdle(() => false, later(), loop)).to.equal(true);
    expect(turns).to.be.greaterThan(TURNS + 1);
  });

  it('begins anew after a request that came in the last turn', async () => {
    const busyTurns = [2, 4];
    const isBusy = () => {
      if (busyTurns.at(0) !== turns) return false;
      busyTurns.shift();
      return true;
    };
    expect(await waitUntilIdle(isBusy, later(), loop)).to.equal(true);
    expect(turns).to.be.greaterThan(5);
  });

  it('ends at the deadline', async () => {
    const startedAt = performance.now();
    const isIdle = await waitUntilIdle(() => true, startedAt + 100, loop);
    expect(isIdle).to.equal(false);
    expect(performance.now() - startedAt).to.be.lessThan(500);
  });
});
