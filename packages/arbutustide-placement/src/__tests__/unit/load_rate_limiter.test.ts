/**
 * Guards against loads that exceed the limits of the weight store, at irregular
 * intervals and after a change of planner, when the recent loads of the
 * predecessor are unknown.
 */

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {LoadRateLimiter} from '../../load_rate_limiter.js';

const LOADS_PER_SECOND = 2;
const MAXIMUM_CONCURRENT_LOADS = 8;
const BURST = 2;
const LOAD_MILLISECONDS = 4_000;
const WINDOW_MILLISECONDS = 5_000;

/** The weight store tolerates a tenth plus three loads above its rate. */
const WINDOW_LIMIT = LOADS_PER_SECOND * 5 * 1.1 + 3;

describe('rate limit of loads from the weight store', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('limits loads per window and concurrent loads', () => {
    const pauses = fc.array(fc.integer({min: 1, max: 900}), {
      maxLength: 200,
      size: 'max',
    });
    fc.assert(
      fc.property(pauses, pausesMilliseconds => {
        const limiter = new LoadRateLimiter(
          LOADS_PER_SECOND,
          MAXIMUM_CONCURRENT_LOADS,
          BURST,
        );
        const startTimes: number[] = [];
        for (const pause of pausesMilliseconds) {
          clock.tick(pause);
          const now = performance.now();
          const runningLoads = startTimes.filter(
            startedAt => now - startedAt < LOAD_MILLISECONDS,
          );
          const loads = limiter.availableLoads(runningLoads.length);
          limiter.recordStarted(loads);
          for (let load = 0; load < loads; load += 1) startTimes.push(now);
          expect(runningLoads.length + loads).to.be.at.most(
            MAXIMUM_CONCURRENT_LOADS,
          );
          const startedInWindow = startTimes.filter(
            startedAt => now - startedAt < WINDOW_MILLISECONDS,
          );
          expect(startedInWindow.length).to.be.at.most(WINDOW_LIMIT);
        }
      }),
      {numRuns: 200, seed: 20_261_204},
    );
  });

  it('starts empty when a predecessor may have just started loads', () => {
    const limiter = new LoadRateLimiter(
      LOADS_PER_SECOND,
      MAXIMUM_CONCURRENT_LOADS,
      BURST,
      0,
    );
    expect(limiter.availableLoads(0)).to.equal(0);
    clock.tick(600);
    expect(limiter.availableLoads(0)).to.equal(1);
  });
});
