/**
 * Guards callers against untrue waits for models, and the nodes' records against
 * changes with every pass of the planner. Load: passes every 150 ms over engines
 * that load, evict and are free.
 */
import type {
  EnginePlannerEnvironment,
  EngineService,
} from '../../engines/engine_planner_environment.js';
import type {EngineEntry} from '../../engines/engine_registry.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {LoadAnnouncer} from '../../engines/load_announcer.js';

const EPOCH = 7;
const PASS_MILLISECONDS = 150;
const LOAD_MILLISECONDS = 3_000;
const NOTICE_MILLISECONDS = 500;

interface EngineState {
  readonly held?: readonly string[];
  readonly loading?: string;
  readonly eviction?: EngineEntry['pendingEviction'];
  readonly inMemory?: readonly string[];
  readonly isReady?: boolean;
}

function createEngine(id: string, state: EngineState): EngineEntry {
  const {held = [], loading, eviction, inMemory = [], isReady = true} = state;
  const entry = {
    listed: {
      id,
      service: 'engines',
      isReady,
      modelsInMemory: new Set(inMemory),
      modelsOnDisk: new Set(),
    },
    holdings: {
      loadingModel: loading,
      holdsModel: (model: string) => held.includes(model),
    },
    pendingEviction: eviction,
  };
  return entry as unknown as EngineEntry;
}

function createService(models: readonly string[]): EngineService {
  return {
    name: 'engines',
    weightMegabytes: 100,
    adapterSlots: 1,
    storeLoadsPerSecond: 1,
    slots: 4,
    modelMegabytes: () => 50,
    adapterMegabytes: () => 1,
    models: models.map(name => ({
      name,
      megabytes: name === 'huge' ? 101 : 50,
      storeLoadMilliseconds: LOAD_MILLISECONDS,
      diskLoadMilliseconds: 1_000,
      memoryLoadMilliseconds: 400,
    })),
  };
}

describe('LoadAnnouncer', () => {
  let clock: ReturnType<typeof install>;
  let queued: Map<string, number>;
  let published: (ReadonlyMap<string, number> | undefined)[];
  let announcer: LoadAnnouncer;

  beforeEach(() => {
    clock = install();
    queued = new Map();
    published = [];
    const environment: Partial<EnginePlannerEnvironment> = {
      listServices: () => [createService(['a', 'b', 'c', 'huge'])],
      countQueuedRequests: (_service, model) => queued.get(model) ?? 0,
      publishExpectedLoads: readyIn => published.push(readyIn),
    };
    announcer = new LoadAnnouncer(environment as EnginePlannerEnvironment, {
      evictionNoticeMilliseconds: NOTICE_MILLISECONDS,
    });
  });
  afterEach(() => clock.uninstall());

  async function runPasses(milliseconds: number, ...engines: EngineEntry[]) {
    for (
      let elapsed = 0;
      elapsed < milliseconds;
      elapsed += PASS_MILLISECONDS
    ) {
      announcer.announce(engines, EPOCH);
      await clock.tickAsync(PASS_MILLISECONDS);
    }
    return published.at(-1);
  }

  it('announces a load once, with its whole time', async () => {
    const loading = createEngine('one', {loading: 'a'});
    await runPasses(3_000, loading);
    expect(published).to.eql([new Map([['engines/a', LOAD_MILLISECONDS]])]);
  });

  it('counts the load of a copy in memory and the notice of an eviction', async () => {
    const eviction = {
      model: 'b',
      replacement: 'c',
      startedAtMilliseconds: -200,
      isLate: false,
    };
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {loading: 'a', inMemory: ['a']}),
      createEngine('two', {held: ['b'], eviction}),
    );
    expect(expected).to.eql(
      new Map([
        ['engines/a', 400],
        ['engines/c', NOTICE_MILLISECONDS + LOAD_MILLISECONDS - 200],
      ]),
    );
  });

  it('does not announce a model for a place that still runs requests for another', async () => {
    const eviction = {
      model: 'b',
      replacement: 'c',
      startedAtMilliseconds: -10_000,
      isLate: true,
    };
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {held: ['b'], eviction}),
    );
    expect(expected?.size).to.equal(0);
  });

  it('announces no model that is held and is to stay', async () => {
    queued.set('a', 5);
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {held: ['a']}),
      createEngine('two', {loading: 'a'}),
    );
    expect(expected?.size).to.equal(0);
  });

  it('has waiting models follow one another at the rate of the store', async () => {
    queued = new Map([
      ['a', 1],
      ['b', 3],
      ['c', 2],
    ]);
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {}),
      createEngine('two', {}),
    );
    const first = NOTICE_MILLISECONDS + LOAD_MILLISECONDS;
    expect(expected?.get('engines/b')).to.equal(first);
    expect(expected?.get('engines/c')).to.be.within(
      first + 1_000,
      first + 1_100,
    );
    // Both engines load until then.
    expect(expected?.get('engines/a')).to.equal(2 * first);
  });

  it('has copies at engines wait for no load from the store, nor delay one', async () => {
    queued = new Map([
      ['a', 3],
      ['b', 2],
      ['c', 1],
    ]);
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {}),
      createEngine('two', {inMemory: ['b']}),
      createEngine('three', {}),
    );
    const first = NOTICE_MILLISECONDS + LOAD_MILLISECONDS;
    expect(expected?.get('engines/a')).to.equal(first);
    expect(expected?.get('engines/b')).to.equal(NOTICE_MILLISECONDS + 400);
    expect(expected?.get('engines/c')).to.be.within(
      first + 1_000,
      first + 1_100,
    );
  });

  it('expects a longer wait the longer a model has found no place', async () => {
    queued.set('a', 1);
    await runPasses(9_000, createEngine('one', {}));
    expect(published.at(-1)?.get('engines/a')).to.be.within(6_000, 9_000);
  });

  it('says at once that no engine has room for a model', async () => {
    queued.set('huge', 1);
    const expected = await runPasses(
      PASS_MILLISECONDS,
      createEngine('one', {}),
    );
    expect(expected?.get('engines/huge')).to.equal(Infinity);
  });

  it('leaves the wait open while no engine is ready', async () => {
    queued.set('a', 1);
    const leaving = createEngine('one', {isReady: false});
    expect((await runPasses(PASS_MILLISECONDS, leaving))?.size).to.equal(0);
  });

  it('changes the record at most twice a second for models that wait', async () => {
    queued.set('a', 1);
    await runPasses(10_000, createEngine('one', {}));
    expect(published.length).to.be.at.most(20);
  });

  it('withdraws what it has announced when the lease is lost', async () => {
    await runPasses(PASS_MILLISECONDS, createEngine('one', {loading: 'a'}));
    announcer.withdraw(EPOCH);
    expect(published.at(-1)).to.equal(undefined);
    await runPasses(PASS_MILLISECONDS, createEngine('one', {loading: 'a'}));
    expect(published.at(-1)?.has('engines/a')).to.equal(true);
  });
});
