import type {Clock} from '@sinonjs/fake-timers';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PlannerStep} from '../../engines/engine_planner_environment.js';
import {UnloadedReason} from '../../engines/unloaded_models.js';
import {
  LOAD_MILLISECONDS,
  PLANNER_SETTINGS,
  PlannerRig,
} from './planner_rig.js';

const STORE_LOADS_PER_SECOND = 4;
const MODELS = ['alpha', 'beta', 'gamma', 'delta'];

describe('engine planner', () => {
  let clock: Clock;
  let rig: PlannerRig;

  beforeEach(() => {
    clock = install();
    rig = new PlannerRig(4, MODELS, STORE_LOADS_PER_SECOND);
  });

  afterEach(() => {
    rig.stop();
    clock.uninstall();
  });

  const summaries = () =>
    rig.events.flatMap(({passes}) => (passes ? [passes] : []));

  it('tells about once a second how many passes it made', async () => {
    rig.start();
    await clock.tickAsync(10_000);
    expect(summaries()).to.have.length.within(9, 11);
    const passes = summaries().reduce(
      (sum, summary) => sum + summary.passes,
      0,
    );
    expect(passes).to.be.within(50, 70);
  });

  it('tells which models with requests are on no engine, and why', async () => {
    for (const engine of rig.engines) engine.isAnswering = false;
    rig.demand.set('alpha', 3);
    rig.start();
    await clock.tickAsync(5_000);
    const last = summaries().at(-1);
    expect(last?.unloaded).to.deep.equal({[UnloadedReason.REPORT_OUTDATED]: 1});
    expect(last?.longestWaiting).to.have.length(1);
    expect(last?.longestWaiting[0]).to.include({model: 'alpha'});
    expect(last?.longestWaiting[0].waitedMilliseconds).to.be.above(2_500);
  });

  it('plans every interval although the reports of engines take longer', async () => {
    rig.callMilliseconds = 600;
    rig.start();
    await clock.tickAsync(10_000);
    const {planningIntervalMilliseconds} = PLANNER_SETTINGS;
    for (const summary of summaries())
      expect(summary.longestPassMilliseconds).to.be.below(
        planningIntervalMilliseconds,
      );
  });

  it('asks an engine that loads a model for its report once the load is due', async () => {
    rig.demand.set('alpha', 3);
    rig.start();
    const findLoading = () => rig.engines.find(({isBusy}) => isBusy);
    while (!findLoading()) await clock.tickAsync(50);
    const loading = findLoading();
    const count = loading?.reportCount;
    await clock.tickAsync(LOAD_MILLISECONDS - 100);
    expect(loading?.isBusy).to.equal(true);
    expect(loading?.reportCount).to.equal(count);
    await clock.tickAsync(LOAD_MILLISECONDS);
    expect(loading?.reportCount).to.be.above(Number(count));
  });

  it('plans for a small part of the time on a node with little processor time', async () => {
    const passMilliseconds = 200;
    rig.onPass = () => clock.tick(passMilliseconds);
    rig.start();
    await clock.tickAsync(10_000);
    const passes = summaries().reduce(
      (sum, summary) => sum + summary.passes,
      0,
    );
    expect(passes * passMilliseconds).to.be.below(0.25 * performance.now());
    expect(passes).to.be.above(5);
  });

  it('plans again soon after a pass in which the process stood still', async () => {
    rig.start();
    await clock.tickAsync(5_000);
    let passes = 0;
    rig.onPass = () => {
      if (passes === 0) clock.tick(3_000);
      passes += 1;
    };
    await clock.tickAsync(5_000);
    expect(passes).to.be.above(5);
  });

  it('loads at the rate of the store although passes and reports come late', async () => {
    rig.stop();
    const models = Array.from({length: 24}, (_, index) => `model-${index}`);
    rig = new PlannerRig(12, models, STORE_LOADS_PER_SECOND);
    rig.onPass = () => clock.tick(100);
    rig.start();
    await clock.tickAsync(3_000);
    rig.callMilliseconds = 450;
    const loaded = () => models.filter(model => rig.isHeld(model)).length;
    for (const model of models) rig.demand.set(model, 1);
    const before = loaded();
    await clock.tickAsync(5_000);
    expect(loaded() - before).to.be.at.least(0.6 * 5 * STORE_LOADS_PER_SECOND);
  });

  it('orders nothing twice while an engine takes long to answer', async () => {
    for (const engine of rig.engines)
      for (const model of ['gamma', 'delta']) engine.models.add(model);
    rig.callMilliseconds = 600;
    rig.demand.set('alpha', 3);
    rig.start();
    await clock.tickAsync(8_000);
    const orders = rig.events.flatMap(({order, answer, upstream}) =>
      order ? [`${upstream} ${order.kind} ${order.model} ${answer}`] : [],
    );
    expect(orders.join()).to.match(/load alpha accepted/);
    expect(new Set(orders)).to.have.length(orders.length);
    for (const order of orders) expect(order).to.match(/ accepted$/);
    const loaded = orders.map(order => order.match(/ load (.+) /)?.[1]);
    expect(loaded.filter(name => name === 'alpha')).to.have.length(1);
  });

  it('adds replicas for demand although an engine never reports', async () => {
    rig.engines[0].isAnswering = false;
    rig.demand.set('alpha', 12);
    rig.start();
    await clock.tickAsync(10_000);
    const holders = rig.engines.filter(({models}) => models.has('alpha'));
    expect(holders).to.have.length.above(1);
  });

  it('loads a model elsewhere although the platform still lists the engine that has ended', async () => {
    rig.engines[0].models.add('alpha');
    rig.demand.set('alpha', 2);
    rig.start();
    await clock.tickAsync(2_000);
    rig.engines[0].hasEnded = true;
    const {maximumReportAgeMilliseconds} = PLANNER_SETTINGS;
    await clock.tickAsync(
      maximumReportAgeMilliseconds + LOAD_MILLISECONDS + 500,
    );
    const others = rig.engines.slice(1);
    expect(others.some(({models}) => models.has('alpha'))).to.equal(true);
  });

  it('loads a model elsewhere while an engine still runs requests for the model in its place', async () => {
    for (const engine of rig.engines)
      for (const model of ['gamma', 'delta']) engine.models.add(model);
    for (const engine of rig.engines.slice(0, 2))
      engine.unloadMilliseconds = 10_000;
    rig.start();
    await clock.tickAsync(1_000);
    rig.demand.set('alpha', 2);
    const {evictionNoticeMilliseconds} = PLANNER_SETTINGS;
    const moveMilliseconds = evictionNoticeMilliseconds + LOAD_MILLISECONDS;
    await clock.tickAsync(3 * moveMilliseconds + 2_000);
    expect(rig.isHeld('alpha')).to.equal(true);
  });

  it('publishes a new list of holdings only for engines whose holdings change', async () => {
    const listCounts = () =>
      rig.engines.map(({id}) => rig.publishedLists.get(id)?.size ?? 0);
    for (const engine of rig.engines) engine.models.add('gamma');
    rig.start();
    await clock.tickAsync(5_000);
    const before = listCounts();
    await clock.tickAsync(5_000);
    expect(listCounts()).to.deep.equal(before);
    rig.demand.set('delta', 12);
    await clock.tickAsync(5_000);
    for (const [index, {id, loadStarts}] of rig.engines.entries()) {
      const added = listCounts()[index] - before[index];
      if (loadStarts.length === 0) expect(added, id).to.equal(0);
      else expect(added, id).to.be.within(0, 2 * loadStarts.length);
    }
    expect(
      [...rig.publishedLists.values()].some(lists =>
        [...lists].some(list => list.includes('delta')),
      ),
    ).to.equal(true);
  });

  it('reads the demand for a model at most twice in a pass, and once more if it has requests', async () => {
    rig.demand.set('alpha', 3);
    rig.start();
    await clock.tickAsync(5_000);
    const before = rig.demandReadCount;
    let passes = 0;
    rig.onPass = () => {
      passes += 1;
    };
    await clock.tickAsync(5_000);
    expect((rig.demandReadCount - before) / passes).to.be.at.most(
      2 * MODELS.length + 1,
    );
  });

  it('tells how long a model was waited for', async () => {
    rig.demand.set('beta', 3);
    rig.start();
    await clock.tickAsync(5_000);
    const loaded = rig.events.filter(
      ({step}) => step === PlannerStep.MODEL_LOADED,
    );
    expect(loaded).to.have.length(1);
    expect(loaded[0].model).to.equal('beta');
    expect(loaded[0].waitedMilliseconds).to.be.within(
      LOAD_MILLISECONDS,
      LOAD_MILLISECONDS + 1_000,
    );
  });
});
