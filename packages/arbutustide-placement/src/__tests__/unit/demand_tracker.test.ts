import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {DemandTracker} from '../../demand_tracker.js';

const SHORT_WINDOW_MILLISECONDS = 1_500;
const LONG_WINDOW_MILLISECONDS = 4_000;
const SAMPLE_INTERVAL_MILLISECONDS = 150;

/**
 * Guards against a demand estimate that misses a rise until requests already
 * queue, or that falls with every short pause and so causes needless moves.
 */
describe('demand tracker', () => {
  let clock: ReturnType<typeof install>;
  let tracker: DemandTracker;

  beforeEach(() => {
    clock = install();
    tracker = new DemandTracker(
      SHORT_WINDOW_MILLISECONDS,
      LONG_WINDOW_MILLISECONDS,
    );
  });

  afterEach(() => clock.uninstall());

  function sampleConstantDemand(
    milliseconds: number,
    concurrency: number,
  ): void {
    for (
      let passed = 0;
      passed < milliseconds;
      passed += SAMPLE_INTERVAL_MILLISECONDS
    ) {
      clock.tick(SAMPLE_INTERVAL_MILLISECONDS);
      tracker.recordSamples([{entry: 'model', concurrency}]);
    }
  }

  it('takes the highest initial demand until the first sample', () => {
    tracker.assumeInitial('model', 0);
    tracker.assumeInitial('model', 20);
    tracker.assumeInitial('model', 10);
    expect(tracker.expectedConcurrency('model')).to.equal(20);
    tracker.recordSamples([{entry: 'model', concurrency: 5}]);
    tracker.assumeInitial('model', 40);
    expect(tracker.expectedConcurrency('model')).to.equal(20);
  });

  it('follows a rise in demand within two short windows', () => {
    sampleConstantDemand(2 * SHORT_WINDOW_MILLISECONDS, 30);
    expect(tracker.expectedConcurrency('model')).to.be.greaterThan(0.6 * 30);
  });

  it('follows a fall after the long window and keeps the recent peak', () => {
    sampleConstantDemand(5 * LONG_WINDOW_MILLISECONDS, 30);
    sampleConstantDemand(SHORT_WINDOW_MILLISECONDS, 0);
    expect(tracker.expectedConcurrency('model')).to.be.greaterThan(0.6 * 30);
    sampleConstantDemand(2 * LONG_WINDOW_MILLISECONDS, 0);
    expect(tracker.expectedConcurrency('model')).to.be.lessThan(0.2 * 30);
    expect(tracker.recentPeak('model')).to.be.greaterThan(0.6 * 30);
  });
});
