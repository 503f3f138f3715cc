/**
 * Guards against a planner whose node spends its processor time on reports that
 * tell nothing new, and against holdings that the planner learns of too late: of
 * engines that load, that restart, that do not answer, and after orders that it
 * does not know of.
 */
import type {Clock} from '@sinonjs/fake-timers';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PlannerStep} from '../../engines/engine_planner_environment.js';
import {
  CALL_TIMEOUT_MILLISECONDS,
  LOAD_MILLISECONDS,
  PLANNER_SETTINGS,
  PlannerRig,
} from './planner_rig.js';

/** Models that the engines hold at first; none has room for another. */
const HELD_AT_FIRST = [
  ['alpha', 'beta'],
  ['alpha', 'gamma'],
  ['beta', 'gamma'],
  ['alpha', 'beta'],
];
/** Demand for which more than two engines should hold a model. */
const HIGH_DEMAND = 12;
const STORE_LOADS_PER_SECOND = 4;
/** An order of an earlier planner may arrive for so long. */
const LATE_ORDER_MILLISECONDS = 15_000;
const {
  planningIntervalMilliseconds: PASS_MILLISECONDS,
  maximumReportAgeMilliseconds: USUAL_AGE_MILLISECONDS,
  maximumSettledReportAgeMilliseconds: SETTLED_AGE_MILLISECONDS,
} = PLANNER_SETTINGS;

function createRig(): PlannerRig {
  const rig = new PlannerRig(
    HELD_AT_FIRST.length,
    ['alpha', 'beta', 'gamma'],
    STORE_LOADS_PER_SECOND,
  );
  for (const [index, {models}] of rig.engines.entries())
    for (const model of HELD_AT_FIRST[index]) models.add(model);
  return rig;
}

describe('reports of engines that only new orders change', () => {
  let clock: Clock;
  let rig: PlannerRig;

  beforeEach(async () => {
    clock = install();
    rig = createRig();
    rig.start();
    await clock.tickAsync(LATE_ORDER_MILLISECONDS + USUAL_AGE_MILLISECONDS);
  });

  afterEach(() => {
    rig.stop();
    clock.uninstall();
  });

  async function countReports(milliseconds: number): Promise<number[]> {
    const before = rig.engines.map(({reportCount}) => reportCount);
    await clock.tickAsync(milliseconds);
    return rig.engines.map(
      ({reportCount}, index) => reportCount - before[index],
    );
  }

  it('are read rarely', async () => {
    for (const count of await countReports(20_000))
      expect(count).to.be.within(4, 6);
  });

  it('are read every second as long as orders of an earlier planner may come', async () => {
    rig.stop();
    rig = createRig();
    rig.start();
    for (const count of await countReports(LATE_ORDER_MILLISECONDS - 1_000))
      expect(count).to.be.above(10);
  });

  it('show an order of another planner, and are read every second then', async () => {
    const [engine] = rig.engines;
    engine.sequence += 1;
    engine.models.delete('beta');
    await clock.tickAsync(SETTLED_AGE_MILLISECONDS + 2 * PASS_MILLISECONDS);
    const published = [...(rig.publishedLists.get(engine.id) ?? [])].at(-1);
    expect(published).to.deep.equal(['alpha']);
    const [count, ...others] = await countReports(10_000);
    expect(count).to.be.above(7);
    for (const other of others) expect(other).to.be.below(4);
  });

  it('do not hold up a load, whose end is seen as soon as it is due', async () => {
    rig.demand.set('gamma', HIGH_DEMAND);
    const listCount = () =>
      [...rig.publishedLists.values()].reduce((sum, {size}) => sum + size, 0);
    const listsBefore = listCount();
    while (listCount() === listsBefore) await clock.tickAsync(50);
    const withdrawnAt = performance.now();
    const isLoading = () =>
      rig.engines.some(({loadStarts}) => loadStarts.length > 0);
    while (!isLoading()) await clock.tickAsync(50);
    expect(performance.now() - withdrawnAt).to.be.below(
      PLANNER_SETTINGS.evictionNoticeMilliseconds +
        PLANNER_SETTINGS.maximumBusyReportAgeMilliseconds +
        4 * PASS_MILLISECONDS,
    );
    await clock.tickAsync(
      LOAD_MILLISECONDS +
        PLANNER_SETTINGS.maximumBusyReportAgeMilliseconds +
        6 * PASS_MILLISECONDS,
    );
    const [loaded] = rig.engines.filter(
      ({loadStarts}) => loadStarts.length > 0,
    );
    const published = [...(rig.publishedLists.get(loaded.id) ?? [])].at(-1);
    expect(published).to.include('gamma');
  });

  it('are read at once after a restart that the platform lists', async () => {
    const [engine] = rig.engines;
    engine.startedAt = 2;
    engine.sequence = 0;
    engine.models.clear();
    const [count] = await countReports(2 * PASS_MILLISECONDS);
    expect(count).to.equal(1);
    const [later] = await countReports(10_000);
    expect(later).to.be.above(7);
  });

  it('that fail are asked for again, and the engine gets no orders', async () => {
    const [engine, ...others] = rig.engines;
    engine.isAnswering = false;
    await clock.tickAsync(SETTLED_AGE_MILLISECONDS + CALL_TIMEOUT_MILLISECONDS);
    const failed = rig.events.filter(
      ({step}) => step === PlannerStep.REPORT_FAILED,
    );
    expect(failed.map(({upstream}) => upstream)).to.deep.equal([engine.id]);
    rig.demand.set('gamma', HIGH_DEMAND);
    await clock.tickAsync(5_000);
    expect(engine.loadStarts).to.have.length(0);
    expect(others.flatMap(({loadStarts}) => loadStarts)).to.have.length.above(
      0,
    );
    engine.isAnswering = true;
    const [count] = await countReports(
      CALL_TIMEOUT_MILLISECONDS + 2 * PASS_MILLISECONDS,
    );
    expect(count).to.be.above(0);
  });
});
