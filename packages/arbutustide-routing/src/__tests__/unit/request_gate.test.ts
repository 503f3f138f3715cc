// Guards against requests that run although their key was revoked while they
// waited, against refusals that are not true, and against quota that is lost.
import type {RequestGate} from '../../proxy/request_gate.js';

import {ErrorKind, ExecutionStatus, RefusalError} from '@arbutustide/errors';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  readAnswer,
  respondWith,
  ScriptedConnector,
} from './scripted_connector.js';

const {NOT_EXECUTED, POSSIBLY_EXECUTED} = ExecutionStatus;

describe('request gate', () => {
  let isRevoked: boolean;
  let givenBack: number;

  beforeEach(() => {
    isRevoked = false;
    givenBack = 0;
  });

  const gate: RequestGate = {
    admit: async () => Ok({giveBack: () => (givenBack += 1)}),
    check: () =>
      isRevoked
        ? new RefusalError(ErrorKind.UNAUTHENTICATED, 'revoked')
        : undefined,
  };

  function createTestDispatcher(connector: ScriptedConnector) {
    const upstreams = [testUpstream('a', ['m']), testUpstream('b', ['m'])];
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      gate,
    );
    return {dispatcher, upstreams};
  }

  it('takes quota again for a request that was queued for long', async () => {
    // Guards against requests that were admitted over seconds and run together.
    const admissions = [
      Ok({giveBack: () => {}}),
      Ok({giveBack: () => (givenBack += 1)}),
      Err(new RefusalError(ErrorKind.QUOTA_EXCEEDED, 'used up')),
    ];
    const upstream = testUpstream('a', ['m'], {slots: 1});
    const connector = new ScriptedConnector([
      async () => {
        await new Promise(resolve => setTimeout(resolve, 700));
        return respondWith({});
      },
    ]);
    const dispatcher = createDispatcher(
      connector,
      () => [upstream],
      () => {},
      undefined,
      undefined,
      {...gate, admit: async () => admissions.shift() ?? Ok({giveBack() {}})},
    );
    const first = dispatcher.dispatch(createRequest(RequestKind.IDEMPOTENT));
    const refused = await dispatcher.dispatch(
      createRequest(RequestKind.IDEMPOTENT),
    );
    await first;
    expect(admissions).to.have.length(0);
    expect(givenBack, 'first quota given back once').to.equal(1);
    expect(refused.err && refused.val.kind).to.equal(ErrorKind.QUOTA_EXCEEDED);
    expect(refused.err && refused.val.ran).to.equal(NOT_EXECUTED);
    expect(connector.upstreamIds).to.have.length(1);
    expect(upstream.ownInFlight).to.equal(0);
  });

  // Guards against requests that pay twice because they were queued.
  it('gives the first quota back when it takes quota again', async () => {
    let taken = 0;
    const upstream = testUpstream('a', ['m'], {slots: 1});
    const connector = new ScriptedConnector([
      async () => {
        await new Promise(resolve => setTimeout(resolve, 700));
        return respondWith({});
      },
      async () => respondWith({}),
    ]);
    const dispatcher = createDispatcher(
      connector,
      () => [upstream],
      () => {},
      undefined,
      undefined,
      {
        ...gate,
        admit: async () => {
          taken += 1;
          return Ok({giveBack: () => (givenBack += 1)});
        },
      },
    );
    const answers = await Promise.all([
      dispatcher.dispatch(createRequest(RequestKind.IDEMPOTENT)),
      dispatcher.dispatch(createRequest(RequestKind.IDEMPOTENT)),
    ]);
    expect(answers.map(({ok}) => ok)).to.deep.equal([true, true]);
    expect({taken, givenBack}).to.deep.equal({taken: 3, givenBack: 1});
  });

  it('is asked when a waiting request gets its slot, and leaves the slot free', async () => {
    const connector = new ScriptedConnector([]);
    const {dispatcher, upstreams} = createTestDispatcher(connector);
    for (const upstream of upstreams)
      upstream.ownInFlight = upstream.description.slots;
    const answer = dispatcher.dispatch(createRequest(RequestKind.IDEMPOTENT));
    isRevoked = true;
    const [freed] = upstreams;
    freed.ownInFlight = 0;
    const refused = await answer;
    expect(refused.err && refused.val.ran).to.equal(NOT_EXECUTED);
    expect(connector.upstreamIds).to.have.length(0);
    expect(freed.ownInFlight).to.equal(0);
    expect(givenBack).to.equal(1);
  });

  it('stops retries under a revoked key, without a claim that none has run', async () => {
    const connector = new ScriptedConnector([
      async () => {
        isRevoked = true;
        return Err(connectionLostError());
      },
    ]);
    const {dispatcher} = createTestDispatcher(connector);
    const refused = await dispatcher.dispatch(
      createRequest(RequestKind.IDEMPOTENT),
    );
    expect(refused.err && refused.val.kind).to.equal(ErrorKind.UNAUTHENTICATED);
    expect(refused.err && refused.val.ran).to.equal(POSSIBLY_EXECUTED);
    expect(connector.upstreamIds).to.have.length(1);
    expect(givenBack).to.equal(0);
  });

  it('lets an answer through whose key was revoked after it was sent', async () => {
    const connector = new ScriptedConnector([
      async () => {
        isRevoked = true;
        return respondWith({}, ['whole']);
      },
    ]);
    const {dispatcher} = createTestDispatcher(connector);
    const answer = await dispatcher.dispatch(
      createRequest(RequestKind.IDEMPOTENT),
    );
    expect((await readAnswer(answer)).text).to.equal('whole');
    expect(givenBack).to.equal(0);
  });
});
