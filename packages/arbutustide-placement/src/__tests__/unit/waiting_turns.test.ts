/**
 * Guards against models that wait for a place for ever beside models that are
 * asked for more, and against turns that take places from too many others.
 */

import type {Clock} from '@sinonjs/fake-timers';

import type {PlannedEngine} from '../../engines/model_plan.js';

import {OrderKind} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PlannerStep} from '../../engines/engine_planner_environment.js';
import {WaitingTurns} from '../../engines/waiting_turns.js';
import {plannedEngine, plannedModel} from './plan_fixtures.js';
import {PLANNER_SETTINGS, PlannerRig} from './planner_rig.js';

const STORE_LOADS_PER_SECOND = 4;
const USUAL = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const RARE = ['rare-1', 'rare-2', 'rare-3'];
/** Demand for the usual models, in which no two are alike. */
const LEAST_DEMAND = 3;
const {turnWaitMilliseconds, turnSpacingMilliseconds, turnTenureMilliseconds} =
  PLANNER_SETTINGS;

describe('turns of waiting models', () => {
  let clock: Clock;
  let rig: PlannerRig;

  beforeEach(() => {
    clock = install();
    rig = new PlannerRig(4, [...USUAL, ...RARE], STORE_LOADS_PER_SECOND);
    for (const [index, name] of USUAL.entries()) {
      rig.engines[index % 4].models.add(name);
      rig.demand.set(name, LEAST_DEMAND + index);
    }
  });

  afterEach(() => {
    rig.stop();
    clock.uninstall();
  });

  const loads = () =>
    rig.events.flatMap(({step, order, answer}) =>
      step === PlannerStep.ORDERED &&
      order?.kind === OrderKind.LOAD &&
      answer === 'accepted'
        ? [order.model]
        : [],
    );

  /** Time for which each model was on some engine. */
  async function measureHeld(milliseconds: number) {
    const held = new Map<string, number>();
    const step = 50;
    for (let time = 0; time < milliseconds; time += step) {
      await clock.tickAsync(step);
      for (const name of [...USUAL, ...RARE])
        if (rig.isHeld(name)) held.set(name, (held.get(name) ?? 0) + step);
    }
    return held;
  }

  it('gives a model that waits for a place a turn although others are asked for more', async () => {
    rig.start();
    await clock.tickAsync(3_000);
    for (const name of RARE) rig.demand.set(name, 1);
    const held = await measureHeld(40_000);
    for (const name of RARE) expect(held.get(name), name).to.be.above(1_000);
  });

  it('gives no turn before the bound on waiting', async () => {
    rig.start();
    await clock.tickAsync(3_000);
    rig.demand.set('rare-1', 1);
    await clock.tickAsync(turnWaitMilliseconds - 500);
    expect(loads()).to.not.include('rare-1');
  });

  it('gives no turn to a model that nobody asks for', async () => {
    rig.start();
    await clock.tickAsync(30_000);
    expect(loads()).to.eql([]);
  });

  it('keeps a model that got a turn while callers ask for it, for its tenure', async () => {
    rig.start();
    await clock.tickAsync(3_000);
    rig.demand.set('rare-1', 1);
    for (let tick = 0; tick < 400 && !rig.isHeld('rare-1'); tick += 1)
      await clock.tickAsync(50);
    expect(rig.isHeld('rare-1')).to.equal(true);
    rig.demand.delete('rare-1');
    const displaced = USUAL.find(name => !rig.isHeld(name));
    rig.demand.set(displaced ?? '', 8);
    await clock.tickAsync(turnTenureMilliseconds - 500);
    expect(rig.isHeld('rare-1')).to.equal(true);
  });

  it('takes from the others no more than its share of places and loads', async () => {
    rig.start();
    await clock.tickAsync(3_000);
    for (const name of RARE) rig.demand.set(name, 1);
    const milliseconds = 60_000;
    const held = await measureHeld(milliseconds);
    const mostTurns = Math.ceil(milliseconds / turnSpacingMilliseconds);
    const rareLoads = loads().filter(name => RARE.includes(name));
    expect(rareLoads.length).to.be.at.most(mostTurns);
    // What a turn displaces is loaded again, and may displace one of less demand.
    expect(loads().length).to.be.at.most(3 * rareLoads.length);
    const heldShare = (name: string) => (held.get(name) ?? 0) / milliseconds;
    for (const name of USUAL) expect(heldShare(name), name).to.be.above(0.33);
    for (const name of USUAL.slice(USUAL.length / 2))
      expect(heldShare(name), name).to.be.above(0.9);
    const sum = (weights: readonly number[]) =>
      weights.reduce((total, weight) => total + weight, 0);
    const demands = USUAL.map(name => rig.demand.get(name) ?? 0);
    const heldDemands = USUAL.map(
      (name, index) => demands[index] * heldShare(name),
    );
    expect(sum(heldDemands) / sum(demands)).to.be.above(0.85);
  });

  it('displaces the model with the least loss, not one that was loaded lately', () => {
    const turns = new WaitingTurns(PLANNER_SETTINGS);
    const models = [
      plannedModel('much', {expectedDemand: 9, peakDemand: 9}),
      plannedModel('little', {expectedDemand: 3, peakDemand: 3}),
      plannedModel('new', {expectedDemand: 1}),
      plannedModel('waiting', {
        queuedRequests: 1,
        waitedMilliseconds: turnWaitMilliseconds,
      }),
    ];
    const parameters = {...PLANNER_SETTINGS, slots: 16};
    const next = (held: readonly PlannedEngine[]) =>
      turns.next(models, turns.observe(held), parameters);
    const engines = (...lately: readonly string[]) => [
      fullEngine('1', ['much', ...lately]),
      fullEngine('2', ['little']),
    ];
    expect(next(engines())).to.equal(undefined);
    clock.tick(turnTenureMilliseconds - 1);
    expect(next(engines())).to.equal(undefined);
    clock.tick(1);
    const move = next(engines('new'));
    expect(move).to.deep.include({engineId: '2', evicted: ['little']});
  });

  it('gives the next turn only when the model of the last one is loaded', () => {
    const turns = new WaitingTurns(PLANNER_SETTINGS);
    const waiting = {
      queuedRequests: 1,
      waitedMilliseconds: turnWaitMilliseconds,
    };
    const models = [
      plannedModel('one'),
      plannedModel('other'),
      plannedModel('first', waiting),
      plannedModel('second', waiting),
    ];
    const parameters = {...PLANNER_SETTINGS, slots: 16};
    const next = (changes: Partial<PlannedEngine>) => {
      const engines = [
        {...fullEngine('1', ['one']), ...changes},
        fullEngine('2', ['other']),
      ];
      return turns.next(models, turns.observe(engines), parameters);
    };
    next({});
    clock.tick(turnTenureMilliseconds);
    expect(next({})).to.include({engineId: '1', model: 'first'});
    clock.tick(2 * turnSpacingMilliseconds);
    const loading = {models: [], loadingModel: 'first', canAcceptOrder: false};
    expect(next(loading)).to.equal(undefined);
    expect(next({models: ['first']})).to.include({
      engineId: '2',
      model: 'second',
    });
  });

  it('waits for the engine with the least loss while that one loads a model', () => {
    const turns = new WaitingTurns(PLANNER_SETTINGS);
    const models = [
      plannedModel('much', {expectedDemand: 9, peakDemand: 9}),
      plannedModel('little', {expectedDemand: 3, peakDemand: 3}),
      plannedModel('waiting', {
        queuedRequests: 1,
        waitedMilliseconds: turnWaitMilliseconds,
      }),
    ];
    const parameters = {...PLANNER_SETTINGS, slots: 16};
    const nextWhile = (changes: Partial<PlannedEngine>) => {
      const engines = [
        fullEngine('1', ['much']),
        {...fullEngine('2', ['little']), ...changes},
      ];
      return turns.next(models, turns.observe(engines), parameters);
    };
    nextWhile({});
    clock.tick(turnTenureMilliseconds);
    const loading = {canAcceptOrder: false, loadingModel: 'other'};
    expect(nextWhile(loading)).to.equal(undefined);
    const unknown = {canAcceptOrder: false};
    expect(nextWhile(unknown)).to.include({engineId: '1'});
  });
});

/** An engine without free memory. */
function fullEngine(id: string, models: readonly string[]): PlannedEngine {
  return plannedEngine(id, models, {freeMegabytes: 0});
}
