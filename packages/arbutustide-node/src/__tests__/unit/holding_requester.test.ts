/**
 * Guards the planner against requests of all nodes for models that take seconds
 * to load, and callers against waits that are not true. Load: one node asks every
 * 100 ms, as its queue does while requests wait for a model or an adapter.
 */
import type {
  ExpectedLoads,
  HoldingRequest,
  PromisedHolding,
  PromisedHoldings,
} from '@arbutustide/membership';
import type {ModelReference} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import {PeerError} from '@arbutustide/membership';
import {ProxyUpstreamDirectory, UpstreamState} from '@arbutustide/routing';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {HoldingRequester} from '../../proxy/holding_requester.js';
import {ModelWaits} from '../../proxy/holdings/model_waits.js';

type HoldingAnswer = Result<PromisedHolding | undefined, PeerError>;

const SERVICE = 'service';
const ADAPTER = {model: 'held', adapter: 'a'};
const MODEL = {model: 'm', adapter: undefined};
const ADAPTER_OF_MISSING_MODEL = {model: 'm', adapter: 'a'};
const QUEUE_CHECK_MILLISECONDS = 100;
const OBSERVED_MILLISECONDS = 10_000;
const LOAD_MILLISECONDS = 3_000;

/** A directory whose only upstream holds the model `held`. */
function createDirectory(): ProxyUpstreamDirectory {
  const directory = new ProxyUpstreamDirectory();
  directory.upsert({
    id: 'one',
    service: SERVICE,
    address: '',
    failureDomain: '',
    softwareVersion: 'v1',
    state: UpstreamState.READY,
    slots: 4,
    startedAt: 1,
    models: [{name: 'held', version: 1, adapters: []}],
    modelsInMemory: [],
    modelsOnDisk: [],
  });
  return directory;
}

describe('HoldingRequester', () => {
  let clock: ReturnType<typeof install>;
  /** Requests in each call that reached the planner. */
  let calls: (readonly HoldingRequest[])[];
  let expectedLoads: Map<string, number>;
  let isPlannerKnown: boolean;

  beforeEach(() => {
    clock = install();
    calls = [];
    expectedLoads = new Map();
    isPlannerKnown = true;
  });
  afterEach(() => clock.uninstall());

  /** A requester whose planner answers each request as the function does. */
  function createRequester(
    answer: () => HoldingAnswer,
    answerMilliseconds = 0,
  ): HoldingRequester {
    const plannerClient = {
      requestHoldings: async (
        requests: readonly HoldingRequest[],
      ): Promise<Result<PromisedHoldings, PeerError>> => {
        calls.push(requests);
        if (answerMilliseconds > 0)
          await new Promise(resolve => {
            setTimeout(resolve, answerMilliseconds);
          });
        const result = answer();
        return result.ok ? Ok(requests.map(() => result.val)) : result;
      },
    };
    const modelWaits = new ModelWaits({
      loadMilliseconds: (_service, model) =>
        model === 'unknown' ? undefined : LOAD_MILLISECONDS,
      expectedLoads: (): ExpectedLoads => expectedLoads,
      isPlannerKnown: () => isPlannerKnown,
    });
    return new HoldingRequester(plannerClient, createDirectory(), modelWaits);
  }

  function promise(readyInMilliseconds: number): HoldingAnswer {
    return Ok({upstreamId: '', readyInMilliseconds});
  }

  function fail(): HoldingAnswer {
    return Err(new PeerError('', 'lost'));
  }

  async function askFor(
    requester: HoldingRequester,
    milliseconds: number,
    ...names: ModelReference[]
  ) {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
      for (const name of names) requester.requestHolding(SERVICE, name);
      await clock.tickAsync(QUEUE_CHECK_MILLISECONDS);
    }
    return requester.expectedWaitMilliseconds(SERVICE, names[0]);
  }

  /** Calls that reach the planner in ten seconds. */
  async function countCalls(name: ModelReference, answer: HoldingAnswer) {
    calls = [];
    await askFor(
      createRequester(() => answer),
      OBSERVED_MILLISECONDS,
      name,
    );
    return calls.length;
  }

  function listModels(count: number): ModelReference[] {
    return Array.from({length: count}, (_, index) => ({
      model: `m${index}`,
      adapter: undefined,
    }));
  }

  it('asks once a second while a load takes seconds', async () => {
    for (const name of [ADAPTER, MODEL])
      expect(await countCalls(name, promise(4_200))).to.be.at.most(10);
  });

  it('asks four times a second at most for what is ready soon or denied', async () => {
    expect(await countCalls(ADAPTER, promise(12))).to.be.within(30, 40);
    expect(await countCalls(ADAPTER, Ok(undefined))).to.be.within(30, 40);
    expect(await countCalls(MODEL, Ok(undefined))).to.be.at.most(10);
  });

  // Without a bound, requests wait for a planner that has failed until their
  // callers give up.
  it('expects a longer wait the longer no planner answers', async () => {
    isPlannerKnown = false;
    for (const name of [ADAPTER, MODEL]) {
      const requester = createRequester(fail);
      expect(await askFor(requester, 500, name)).to.be.within(400, 600);
      expect(await askFor(requester, 2_500, name)).to.be.within(2_900, 3_100);
    }
  });

  it('expects the time of the load as soon as a planner answers', async () => {
    let answer = fail();
    const requester = createRequester(() => answer);
    await askFor(requester, 3_000, ADAPTER);
    answer = promise(600);
    expect(await askFor(requester, 300, ADAPTER)).to.be.within(200, 600);
  });

  it('keeps the time of a load under way while a new planner is silent', async () => {
    let answer = promise(4_000);
    const requester = createRequester(() => answer);
    await askFor(requester, 100, ADAPTER);
    answer = fail();
    expect(await askFor(requester, 1_500, ADAPTER)).to.be.within(2_300, 2_500);
  });

  it('asks for thirty missing models in one call', async () => {
    const requester = createRequester(() => promise(LOAD_MILLISECONDS));
    await askFor(requester, 100, ...listModels(30));
    expect(calls.map(({length}) => length)).to.eql([30]);
  });

  it('calls no planner that has announced the models', async () => {
    const models = listModels(30);
    const requester = createRequester(() => promise(LOAD_MILLISECONDS));
    for (const {model} of models)
      expectedLoads.set(`${SERVICE}/${model}`, performance.now() + 4_000);
    await askFor(requester, OBSERVED_MILLISECONDS, ...models);
    expect(calls).to.eql([]);
  });

  it('calls once a second for all models that are not announced', async () => {
    const requester = createRequester(() => promise(LOAD_MILLISECONDS));
    await askFor(requester, OBSERVED_MILLISECONDS, ...listModels(30));
    expect(calls.length).to.be.within(8, 10);
  });

  it('calls once a second although ever more models come to be missing', async () => {
    const requester = createRequester(() => promise(LOAD_MILLISECONDS));
    const models = listModels(100);
    for (let count = 1; count <= models.length; count += 1)
      await askFor(requester, 100, ...models.slice(0, count));
    expect(calls.length).to.be.within(8, 11);
  });

  it('calls for an adapter at once although it has called for models', async () => {
    const requester = createRequester(() => promise(12));
    await askFor(requester, 200, ...listModels(2));
    requester.requestHolding(SERVICE, {model: 'm9', adapter: undefined});
    requester.requestHolding(SERVICE, ADAPTER);
    await clock.tickAsync(1);
    expect(calls.map(requests => requests.at(-1)?.adapter)).to.eql(['', 'a']);
  });

  it('has one call in flight and pauses the longer the planner is late', async () => {
    for (const [answerMilliseconds, most] of [
      [100, 34],
      [300, 12],
      [700, 7],
    ]) {
      calls = [];
      const requester = createRequester(() => promise(12), answerMilliseconds);
      await askFor(requester, OBSERVED_MILLISECONDS, ADAPTER, ...listModels(9));
      expect(calls.length, `${answerMilliseconds} ms`).to.be.within(5, most);
    }
  });

  it('asks again after a call that was rejected, which is reported', async () => {
    let isRejected = true;
    const requester = createRequester(() => {
      if (isRejected) throw new Error('not decided');
      return promise(2_000);
    });
    const reported: unknown[] = [];
    const report = (reason: unknown) => reported.push(reason);
    const listeners = process.rawListeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection');
    process.on('unhandledRejection', report);
    try {
      await askFor(requester, 1_000, ADAPTER);
      isRejected = false;
      const wait = await askFor(requester, 1_000, ADAPTER);
      expect(wait).to.be.within(1_000, 2_000);
    } finally {
      process.off('unhandledRejection', report);
      for (const listener of listeners)
        process.on('unhandledRejection', listener as () => void);
    }
    expect(calls.length).to.be.within(4, 7);
    expect(reported.map(String)).to.include('Error: not decided');
  });

  it('sends no more than a bounded number of requests in a call', async () => {
    const requester = createRequester(() => promise(12));
    const adapters = listModels(100).map(({model}) => ({
      model: 'held',
      adapter: model,
    }));
    await askFor(requester, 200, ...adapters);
    expect(calls.map(({length}) => length)).to.eql([64, 36]);
  });

  it('expects what the planner has announced of a model', async () => {
    const requester = createRequester(() => promise(12));
    expectedLoads.set(`${SERVICE}/m`, performance.now() + 1_500);
    for (const name of [MODEL, ADAPTER_OF_MISSING_MODEL])
      expect(requester.expectedWaitMilliseconds(SERVICE, name)).to.equal(1_500);
    await clock.tickAsync(1_900);
    // Overdue by 400 ms, and taken to be late by as much again.
    expect(requester.expectedWaitMilliseconds(SERVICE, MODEL)).to.equal(400);
  });

  it('expects at least the load time of a model that is not announced', async () => {
    const requester = createRequester(() => promise(12));
    expect(requester.expectedWaitMilliseconds(SERVICE, MODEL)).to.equal(3_000);
    expect(await askFor(requester, 4_000, MODEL)).to.be.within(3_900, 4_100);
  });

  it('denies models that no upstream has room for or that are unknown', async () => {
    const requester = createRequester(() => promise(12));
    expectedLoads.set(`${SERVICE}/m`, Infinity);
    const unknown = {model: 'unknown', adapter: undefined};
    for (const name of [MODEL, unknown])
      expect(await askFor(requester, 500, name)).to.equal(undefined);
    expect(calls).to.eql([]);
  });

  it('does not count the wait for a model since an earlier one ended', async () => {
    const requester = createRequester(() => promise(12));
    isPlannerKnown = false;
    await askFor(requester, 3_000, MODEL);
    await clock.tickAsync(20_000);
    expect(await askFor(requester, 500, MODEL)).to.be.within(400, 600);
  });

  it('asks for no model in a version, as none is loaded by version', async () => {
    const requester = createRequester(() => promise(12));
    requester.requestHolding(SERVICE, MODEL, 'v2');
    requester.requestHolding(SERVICE, ADAPTER, 'v2');
    await clock.tickAsync(1_000);
    expect(calls).to.eql([]);
  });
});
