import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {LoadAllowance} from '../../load_allowance.js';

const LOADS_PER_SECOND = 2;
const LOADS_AT_ONCE = 8;
const BURST = 2;
const LOAD_MILLISECONDS = 4_000;
const WINDOW_MILLISECONDS = 5_000;

/** The weight store bears one tenth and three loads beyond its rate. */
const WINDOW_LIMIT = LOADS_PER_SECOND * 5 * 1.1 + 3;

describe('allowance of loads from the weight store', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('keeps every window and every moment within the limits', () => {
    const pauses = fc.array(fc.integer({min: 1, max: 900}), {
      maxLength: 200,
      size: 'max',
    });
    fc.assert(
      fc.property(pauses, pausesMilliseconds => {
        const limiter = new LoadAllowance(
          LOADS_PER_SECOND,
          LOADS_AT_ONCE,
          BURST,
        );
        const startTimes: number[] = [];
        for (const pause of pausesMilliseconds) {
          clock.tick(pause);
          const now = performance.now();
          const runningLoads = startTimes.filter(
            startedAt => now - startedAt < LOAD_MILLISECONDS,
          );
          const loads = limiter.available(runningLoads.length);
          limiter.take(loads);
          for (let load = 0; load < loads; load += 1) startTimes.push(now);
          expect(runningLoads.length + loads).to.be.at.most(LOADS_AT_ONCE);
          const startedInWindow = startTimes.filter(
            startedAt => now - startedAt < WINDOW_MILLISECONDS,
          );
          expect(startedInWindow.length).to.be.at.most(WINDOW_LIMIT);
        }
      }),
      {numRuns: 200, seed: 20_261_204},
    );
  });

  it('begins with nothing where others may have begun loads just before', () => {
    const limiter = new LoadAllowance(
      LOADS_PER_SECOND,
      LOADS_AT_ONCE,
      BURST,
      0,
    );
    expect(limiter.available(0)).to.equal(0);
    clock.tick(600);
    expect(limiter.available(0)).to.equal(1);
  });
});
