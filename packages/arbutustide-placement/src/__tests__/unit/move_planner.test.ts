/**
 * Guards against a planner whose node spends its processor time on plans for
 * which nothing has changed, and against changes that no plan follows. Load:
 * passes every 150 ms over all models and engines.
 */
import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from '../../engines/model_plan.js';

import {expect} from 'chai';

import {MovePlanner} from '../../engines/move_planner.js';
import {PLAN_PARAMETERS, plannedEngine, plannedModel} from './plan_fixtures.js';

const MODEL = plannedModel('alpha', {expectedDemand: 1, peakDemand: 2});
const ENGINE = plannedEngine('engine-1', ['alpha'], {
  freeMegabytes: 10,
  modelsInMemory: new Set(['beta']),
  modelsOnDisk: new Set(['beta']),
});
const MOVE: ModelMove = {
  engineId: 'engine-1',
  model: 'beta',
  evicted: [],
  gain: 1,
};

describe('move planner', () => {
  let planCount: number;
  let moves: readonly ModelMove[];
  let movePlanner: MovePlanner;

  beforeEach(() => {
    planCount = 0;
    moves = [];
    movePlanner = new MovePlanner(function* () {
      planCount += 1;
      yield* moves;
    });
  });

  const plan = (
    model: Partial<PlannedModel> = {},
    engine: Partial<PlannedEngine> = {},
    settings: Partial<ModelPlanParameters> = {},
  ) =>
    movePlanner.plan({
      models: [{...MODEL, ...model}],
      engines: [{...ENGINE, modelsInMemory: new Set(['beta']), ...engine}],
      settings: {...PLAN_PARAMETERS, ...settings},
    });

  it('plans once while nothing changes', () => {
    for (let pass = 0; pass < 20; pass += 1) expect(plan()).to.have.length(0);
    expect(planCount).to.equal(1);
  });

  const modelChanges: Array<Partial<PlannedModel>> = [
    {expectedDemand: 1.5},
    {peakDemand: 2.5},
    {queuedRequests: 1},
    {waitedMilliseconds: 150},
    {megabytes: 60},
  ];
  for (const change of modelChanges) {
    it(`plans again for a model's ${Object.keys(change).join()}`, () => {
      plan();
      plan(change);
      expect(planCount).to.equal(2);
    });
  }

  const engineChanges: Array<Partial<PlannedEngine>> = [
    {id: 'engine-2'},
    {freeMegabytes: 80},
    {models: ['alpha', 'gamma']},
    {loadingModel: 'gamma'},
    {utilization: 0.5},
    {capacityShare: 0.5},
    {canAcceptOrder: false},
    {modelsInMemory: new Set(['gamma'])},
    {modelsOnDisk: new Set()},
  ];
  for (const change of engineChanges) {
    it(`plans again for an engine's ${Object.keys(change).join()}`, () => {
      plan();
      plan({}, change);
      expect(planCount).to.equal(2);
    });
  }

  it('plans again for other slots', () => {
    plan();
    plan({}, {}, {slots: 20});
    expect(planCount).to.equal(2);
  });

  it('plans again although nothing changed while there are moves', () => {
    moves = [MOVE];
    for (let pass = 0; pass < 3; pass += 1)
      expect(plan()).to.deep.equal([MOVE]);
    expect(planCount).to.equal(3);
    moves = [];
    plan();
    plan();
    expect(planCount).to.equal(4);
  });
});
