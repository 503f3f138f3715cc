/**
 * Guards the planner's event loop against calls for many adapters at once, and
 * callers against waiting for orders that an engine does not answer. Load: calls
 * for 64 adapters of many nodes in one turn.
 */
import type {EnginePlanner} from '@arbutustide/placement';

import {HoldingRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {HoldingServer} from '../../proxy/holdings/holding_server.js';
import {WantedModels} from '../../proxy/holdings/wanted_models.js';

const NODES = 16;
const REQUESTS = 64;
const PROMISE = {upstreamId: 'one', readyInMilliseconds: 12};

function createRequests(count: number, adapter = 'a', prefix = '') {
  return Array.from({length: count}, (_, index) =>
    create(HoldingRequestSchema, {
      service: 'engines',
      model: `${prefix}m${index}`,
      adapter,
    }),
  );
}

describe('HoldingServer', () => {
  let clock: ReturnType<typeof install>;
  let wantedModels: WantedModels;
  /** Models that the planner was asked for. */
  let asked: string[];
  let decide: EnginePlanner['requestHolding'];
  let server: HoldingServer;

  beforeEach(() => {
    clock = install();
    wantedModels = new WantedModels();
    asked = [];
    decide = async () => PROMISE;
    server = new HoldingServer(
      {
        requestHolding: (service, name, softwareVersion) => {
          asked.push(name.model);
          return decide(service, name, softwareVersion);
        },
      },
      wantedModels,
    );
  });
  afterEach(() => clock.uninstall());

  it('answers each request in its place', async () => {
    decide = async (_service, {model}) =>
      model === 'm1' ? undefined : {...PROMISE, upstreamId: model};
    const answers = server.answer(createRequests(3));
    await clock.runAllAsync();
    expect((await answers).map(answer => answer?.upstreamId)).to.eql([
      'm0',
      undefined,
      'm2',
    ]);
  });

  it('takes up no more than 16 requests of all nodes in a turn', async () => {
    const calls = Array.from({length: NODES}, (_, node) =>
      server.answer(createRequests(REQUESTS, 'a', `${node}`)),
    );
    let most = 0;
    while (asked.length < NODES * REQUESTS) {
      const before = asked.length;
      await clock.nextAsync();
      most = Math.max(most, asked.length - before);
    }
    await clock.runAllAsync();
    await Promise.all(calls);
    expect(most).to.be.at.most(16);
  });

  it('answers in 250 ms what is decided, and when to ask for the rest', async () => {
    decide = (_service, {model}) =>
      model === 'm0' ? new Promise(() => {}) : Promise.resolve(PROMISE);
    const answers = server.answer(createRequests(2));
    await clock.tickAsync(250);
    expect(await answers).to.eql([
      {upstreamId: '', readyInMilliseconds: 250},
      PROMISE,
    ]);
  });

  it('decides once what several nodes ask for at the same time', async () => {
    const calls = Array.from({length: NODES}, () =>
      server.answer(createRequests(REQUESTS)),
    );
    await clock.runAllAsync();
    expect(asked.length).to.equal(REQUESTS);
    for (const answers of await Promise.all(calls))
      expect(answers).to.eql(Array.from({length: REQUESTS}, () => PROMISE));
  });

  // A loop that is behind takes longer for a turn than a call may last.
  it('takes up each request although its call was answered before', async () => {
    const call = server.answer(createRequests(REQUESTS));
    clock.jump(10_000);
    await call;
    await clock.runAllAsync();
    expect(asked.length).to.equal(REQUESTS);
  });

  it('counts a model that was called for as wanted until gossip tells', async () => {
    const answers = server.answer(createRequests(1, ''));
    await clock.tickAsync(0);
    await answers;
    expect(wantedModels.count('engines/m0')).to.equal(1);
    expect(wantedModels.count('engines/m1')).to.equal(0);
    await clock.tickAsync(2_000);
    expect(wantedModels.count('engines/m0')).to.equal(0);
  });
});
