/** Guards against more loads from the weight store than it allows in a window. */
import type {Clock} from '@sinonjs/fake-timers';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PlannerRig} from './planner_rig.js';

const STORE_LOADS_PER_SECOND = 15;
const LOAD_MILLISECONDS = 4_000;
const WINDOW_MILLISECONDS = 5_000;
/** A tenth more than the rate of the store, and three loads. */
const MOST_IN_WINDOW = 1.1 * 5 * STORE_LOADS_PER_SECOND + 3;

function mostInWindow(starts: readonly number[]): number {
  const counts = starts.map(
    start =>
      starts.filter(
        other => other >= start && other < start + WINDOW_MILLISECONDS,
      ).length,
  );
  return Math.max(0, ...counts);
}

describe('loads from the weight store in a window', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = install();
  });

  afterEach(() => clock.uninstall());

  for (const lateMilliseconds of [600, 2_000])
    it(`are within its limit while orders take ${lateMilliseconds} ms, then 5 ms`, async () => {
      const models = Array.from({length: 180}, (_, index) => `model-${index}`);
      const rig = new PlannerRig(
        120,
        models,
        STORE_LOADS_PER_SECOND,
        LOAD_MILLISECONDS,
      );
      rig.start();
      await clock.tickAsync(5_000);
      rig.callMilliseconds = lateMilliseconds;
      for (const model of models) rig.demand.set(model, 1);
      for (let elapsed = 0; elapsed < 12_000; elapsed += 100) {
        if (elapsed === 3_000) rig.callMilliseconds = 5;
        await clock.tickAsync(100);
      }
      rig.stop();
      const starts = rig.engines.flatMap(({loadStarts}) => loadStarts);
      expect(starts).to.have.length(models.length);
      expect(mostInWindow(starts)).to.be.at.most(MOST_IN_WINDOW);
    });
});
