/**
 * Guards against plans that leave demand unserved, evict models or adapters in
 * use, or move models for no gain, and against orders sent after an undetected
 * suspension of the process.
 */

import type {EngineHoldingsTracker} from '../../engines/engine_holdings_tracker.js';

import {SuspensionDetector} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {planAdapterLoad} from '../../engines/adapter_plan.js';
import {planModelMoves} from '../../engines/model_plan.js';
import {
  PLAN_PARAMETERS as SETTINGS,
  plannedEngine as engine,
  plannedModel as model,
} from './plan_fixtures.js';

describe('model plan', () => {
  it('holds every model on some engine while memory is free', () => {
    const models = ['a', 'b', 'c', 'd'].map(name => model(name));
    const engines = [engine('1', ['a']), engine('2', ['b'])];
    const moves = [...planModelMoves(models, engines, SETTINGS)];
    expect(moves.map(move => move.model)).to.eql(['c', 'd']);
    expect(moves.every(({evicted}) => evicted.length === 0)).to.equal(true);
  });

  it('evicts replicas that are not needed', () => {
    const models = [model('a'), model('b'), model('c'), model('new')];
    const engines = [
      engine('1', ['a', 'b', 'c']),
      engine('2', ['a', 'b', 'c']),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move.model).to.equal('new');
    expect(move.evicted).to.have.length(1);
  });

  it('keeps the spare replica of a model that was in demand', () => {
    const models = [
      model('hot', {expectedDemand: 8, peakDemand: 8}),
      model('was-hot', {peakDemand: 8}),
      ...['c', 'd'].map(name => model(name)),
    ];
    const engines = [
      engine('1', ['hot', 'was-hot', 'c']),
      engine('2', ['hot', 'was-hot', 'd']),
    ];
    expect([...planModelMoves(models, engines, SETTINGS)]).to.eql([]);
  });

  it('adds a replica of a model whose holders are overloaded', () => {
    const models = [model('hot', {expectedDemand: 40, peakDemand: 40})];
    const engines = [engine('1', ['hot']), engine('2', [])];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.include({engineId: '2', model: 'hot'});
  });

  it('adds a replica of a model whose holder limits its rate, not on another such engine', () => {
    const models = [model('hot', {expectedDemand: 5, peakDemand: 2})];
    const limited = {capacityShare: 0.02};
    const engines = [
      engine('1', ['hot'], limited),
      engine('2', [], limited),
      engine('3', []),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.include({engineId: '3', model: 'hot'});
    engines[0] = engine('1', ['hot']);
    expect([...planModelMoves(models, engines, SETTINGS)]).to.eql([]);
  });

  it('loads a model that no engine holds although all limit their rate', () => {
    const engines = [engine('1', [], {capacityShare: 0.02})];
    const [move] = planModelMoves([model('asked')], engines, SETTINGS);
    expect(move).to.include({engineId: '1', model: 'asked'});
  });

  it('evicts an idle model for queued requests to a model nobody holds', () => {
    const models = [
      ...['a', 'b', 'c'].map(name => model(name)),
      model('asked', {queuedRequests: 2, expectedDemand: 1}),
    ];
    const [move] = planModelMoves(
      models,
      [engine('1', ['a', 'b', 'c'])],
      SETTINGS,
    );
    expect(move.model).to.equal('asked');
  });

  it('does not evict one idle model for another', () => {
    const models = ['a', 'b', 'c', 'd'].map(name => model(name));
    const moves = planModelMoves(
      models,
      [engine('1', ['a', 'b', 'c'])],
      SETTINGS,
    );
    expect([...moves]).to.eql([]);
  });

  it('spreads the replicas of a model over failure domains', () => {
    const models = [model('hot', {expectedDemand: 40, peakDemand: 40})];
    const engines = [
      engine('1', ['hot'], {failureDomain: 'a'}),
      engine('2', [], {failureDomain: 'a'}),
      engine('3', [], {failureDomain: 'b'}),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move.engineId).to.equal('3');
  });

  it('places a replica on the least loaded engine', () => {
    const models = [model('busy', {expectedDemand: 30}), model('other')];
    const engines = [
      engine('holder', ['busy'], {utilization: 0.9}),
      engine('loaded', ['other'], {utilization: 0.6}),
      engine('idle', ['other'], {utilization: 0.1}),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.include({engineId: 'idle', model: 'busy'});
  });

  it('keeps the last free engine for a model in demand', () => {
    const busy = {canAcceptOrder: false};
    const engines = [
      engine('1', ['a'], busy),
      engine('2', ['a'], busy),
      engine('3', ['a'], busy),
      engine('4', ['a']),
    ];
    const rare = [model('a'), model('rare', {queuedRequests: 2})];
    expect([...planModelMoves(rare, engines, SETTINGS)]).to.eql([]);
    const wanted = [model('a'), model('wanted', {queuedRequests: 8})];
    const [move] = planModelMoves(wanted, engines, SETTINGS);
    expect(move).to.include({engineId: '4', model: 'wanted'});
  });

  it('loads the model that was waited for longest while few loads are allowed', () => {
    const models = [
      model('held'),
      model('recent', {queuedRequests: 3, waitedMilliseconds: 500}),
      model('waiting', {queuedRequests: 1, waitedMilliseconds: 10_000}),
    ];
    const engines = [engine('1', ['held']), engine('2', ['held'])];
    const [first] = planModelMoves(models, engines, SETTINGS);
    expect(first.model).to.equal('waiting');
  });

  it('adds a replica for the requests of a model that its full replicas cannot run', () => {
    const models = [
      model('full', {expectedDemand: 100}),
      ...['a', 'b', 'c'].map(name => model(name, {peakDemand: 30})),
    ];
    const engines = [
      engine('1', ['full'], {freeMegabytes: 0, utilization: 1}),
      engine('2', ['a', 'b', 'c'], {freeMegabytes: 0}),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.include({engineId: '2', model: 'full'});
  });

  it('prefers an engine with a local copy that is slightly busier', () => {
    const models = [model('busy', {expectedDemand: 30}), model('other')];
    const engines = [
      engine('holder', ['busy'], {utilization: 0.9}),
      engine('idle', ['other'], {utilization: 0.1}),
      engine('warm', ['other'], {
        utilization: 0.2,
        modelsOnDisk: new Set(['busy']),
      }),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.include({engineId: 'warm', model: 'busy'});
  });

  it('keeps the last replica of a model with high peak demand', () => {
    const models = [
      model('wanted', {queuedRequests: 2}),
      model('past', {peakDemand: 30}),
      model('rare'),
    ];
    const engines = [
      engine('1', ['past'], {freeMegabytes: 0}),
      engine('2', ['rare'], {freeMegabytes: 0}),
    ];
    const [move] = planModelMoves(models, engines, SETTINGS);
    expect(move).to.deep.include({engineId: '2', evicted: ['rare']});
  });

  it('prefers an engine with a copy on its disk', () => {
    const engines = [
      engine('1', []),
      engine('2', [], {modelsOnDisk: new Set(['a'])}),
    ];
    const [move] = planModelMoves([model('a')], engines, SETTINGS);
    expect(move.engineId).to.equal('2');
  });
});

describe('adapter plan', () => {
  function holdings(
    id: string,
    adapters: readonly string[],
    loadBlocker: string | undefined,
  ): EngineHoldingsTracker {
    const names = adapters.map(adapter => ({model: 'm', adapter}));
    return {
      engine: {id, address: ''},
      isUpToDate: true,
      isBusy: false,
      holdsModel: (name: string) => name === 'm',
      findAdapterLoadBlocker: () => loadBlocker,
      committedAdapters: () => names,
    } as unknown as EngineHoldingsTracker;
  }

  const wanted = {model: 'm', adapter: 'new'};
  const usage = {
    idleMilliseconds: ({adapter}: {adapter: string}) =>
      adapter === 'old' ? 5_000 : 10,
    minimumIdleMilliseconds: 300,
  };

  it('uses a free slot on the least loaded engine', () => {
    const plan = planAdapterLoad(
      wanted,
      [
        {holdings: holdings('1', ['x'], undefined), isReady: true, inFlight: 9},
        {holdings: holdings('2', ['x'], undefined), isReady: true, inFlight: 2},
        {holdings: holdings('3', [], undefined), isReady: false, inFlight: 0},
      ],
      usage,
    );
    expect(plan?.holdings.engine.id).to.equal('2');
  });

  it('evicts the least recently used adapter', () => {
    const full = 'the engine has no free adapter slot';
    const plan = planAdapterLoad(
      wanted,
      [
        {holdings: holdings('1', ['used'], full), isReady: true, inFlight: 0},
        {
          holdings: holdings('2', ['used', 'old'], full),
          isReady: true,
          inFlight: 9,
        },
      ],
      usage,
    );
    expect(plan?.evicted).to.eql({model: 'm', adapter: 'old'});
  });

  it('evicts no adapter that is in use', () => {
    const plan = planAdapterLoad(
      wanted,
      [{holdings: holdings('1', ['used'], 'full'), isReady: true, inFlight: 0}],
      usage,
    );
    expect(plan).to.equal(undefined);
  });
});

describe('suspension detection', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('detects time that passes only on the wall clock', () => {
    const guard = new SuspensionDetector(300);
    clock.tick(5_000);
    expect(guard.checkSuspended()).to.equal(false);
    clock.setSystemTime(Date.now() + 4_000);
    expect(guard.checkSuspended()).to.equal(true);
    expect(guard.checkSuspended()).to.equal(false);
  });
});
