// Runs the dispatcher against scripted upstreams. It guards against refusals
// that misstate whether a request ran, against repeating requests that may have
// run when a connection breaks, and against faulty streams after a resume.
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RoutedRequest} from '../../proxy/routed_request.js';
import type {AttemptScript} from './scripted_connector.js';

import {Cancellation, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {AnswerEnd} from '../../caller_request.js';
import {DecisionStep} from '../../proxy/request_decision.js';
import {RequestKind} from '../../proxy/route.js';
import {
  testModelRequest,
  testRequest,
  testRoute,
  testUpstream,
} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  respondWith,
  eventIdsIn,
  readAnswer,
  createRequest,
  ScriptedConnector,
  neverRespond,
  respondWithEvents,
} from './scripted_connector.js';

describe('dispatch of routed requests to upstreams', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let decisions: RequestDecision[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
    decisions = [];
  });
  afterEach(() => clock.uninstall());

  function createTestDispatcher(connector: ScriptedConnector) {
    return createDispatcher(
      connector,
      () => upstreams,
      decision => decisions.push(decision),
    );
  }

  async function dispatchWith(
    request: RoutedRequest,
    ...scripts: AttemptScript[]
  ) {
    const connector = new ScriptedConnector(scripts);
    const result = await createTestDispatcher(connector).dispatch(request);
    return {result, connector};
  }

  const notRun: AttemptScript = () =>
    respondWith({status: 503, isNotRun: true});
  const connectionLost: AttemptScript = () => Err(connectionLostError());
  const whole: AttemptScript = () => respondWith({}, ['who', 'le']);

  it('forwards a complete answer', async () => {
    const {result} = await dispatchWith(
      createRequest(RequestKind.IDEMPOTENT),
      whole,
    );
    const {status, body} = result.unwrap();
    expect(status).to.equal(200);
    expect(String(body)).to.equal('whole');
    expect(upstreams.every(({ownInFlight}) => ownInFlight === 0)).to.equal(
      true,
    );
  });

  it('refuses a request at once whose time passed before it was read', async () => {
    const now = performance.now();
    const {result, connector} = await dispatchWith(
      {
        ...createRequest(RequestKind.IDEMPOTENT),
        arrivedAtMilliseconds: now - 5_100,
        deadlineAtMilliseconds: now - 100,
      },
      whole,
    );
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(connector.upstreamIds).to.eql([]);
  });

  it('sends a request that was not run to another upstream', async () => {
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.NON_IDEMPOTENT),
      notRun,
      whole,
    );
    expect(result.ok).to.equal(true);
    expect(new Set(connector.upstreamIds).size).to.equal(2);
  });

  it('never retries a non-idempotent request that may have run, and reports so', async () => {
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.NON_IDEMPOTENT),
      connectionLost,
    );
    expect(connector.upstreamIds).to.have.length(1);
    expect(result.err && result.val.kind).to.equal(ErrorKind.UPSTREAM_BROKEN);
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
  });

  it('reports MAYBE if any attempt may have run, even if the last did not', async () => {
    const {result} = await dispatchWith(
      createRequest(RequestKind.IDEMPOTENT),
      connectionLost,
      notRun,
    );
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
  });

  it("forwards the upstream's server error when no attempt is left", async () => {
    const failed: AttemptScript = () => respondWith({status: 500}, ['broke']);
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.IDEMPOTENT),
      failed,
      failed,
    );
    expect(connector.upstreamIds).to.have.length(2);
    expect(result.unwrap().status).to.equal(500);
  });

  it('refuses at once a request for a model that no upstream will hold', async () => {
    const request = testRequest({modelRequest: testModelRequest('unknown')});
    const {result, connector} = await dispatchWith(request);
    expect(connector.upstreamIds).to.have.length(0);
    expect(result.err && result.val.kind).to.equal(ErrorKind.NO_REPLICA);
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(result.err && result.val.retryAfterMilliseconds).to.be.greaterThan(
      0,
    );
  });

  it('refuses at the deadline if the upstreams never answer', async () => {
    const once = dispatchWith(
      createRequest(RequestKind.NON_IDEMPOTENT),
      neverRespond,
    );
    const twice = dispatchWith(
      createRequest(RequestKind.IDEMPOTENT),
      neverRespond,
      neverRespond,
    );
    await clock.tickAsync(5_000);
    for (const {result} of [await once, await twice]) {
      expect(result.err && result.val.kind).to.equal(
        ErrorKind.UPSTREAM_TIMED_OUT,
      );
      expect(result.err && result.val.ran).to.equal(
        ExecutionStatus.POSSIBLY_EXECUTED,
      );
    }
  });

  it('cancels the attempt when the caller disconnects', async () => {
    const disconnection = new Cancellation();
    let wasCancelled = false;
    const silent: AttemptScript = (_upstream, {cancellation: cancel}) =>
      new Promise(resolve => {
        cancel.onCancel(() => {
          wasCancelled = true;
          resolve(Err(new AttemptError(AttemptFailure.CANCELLED, 'gone')));
        });
      });
    const request = {
      ...createRequest(RequestKind.IDEMPOTENT),
      disconnection,
    };
    const playing = dispatchWith(request, silent);
    await clock.tickAsync(100);
    disconnection.cancel('gone');
    const {result} = await playing;
    expect(wasCancelled).to.equal(true);
    expect(result.err && result.val.kind).to.equal(ErrorKind.CALLER_GONE);
  });

  it('resumes a stream at another upstream after its last event', async () => {
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.STREAM, true),
      () => respondWithEvents([1, 2], false),
      () => respondWithEvents([2, 3, 4], true),
    );
    const {text, end} = await readAnswer(result);
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.resumedAfterIds).to.eql([undefined, 2]);
    expect(decisions.map(({step}) => step)).to.include(
      DecisionStep.STREAM_RESUMED,
    );
  });

  it('ends a broken stream that is not resumable as broken', async () => {
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.STREAM, false),
      () => respondWithEvents([1, 2], false),
    );
    const {text, end} = await readAnswer(result);
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.BROKEN);
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('ends a stream as broken on a gap between two upstreams', async () => {
    const {result} = await dispatchWith(
      createRequest(RequestKind.STREAM, true),
      () => respondWithEvents([1, 2], false),
      () => respondWithEvents([4, 5], true),
    );
    const {text, end} = await readAnswer(result);
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.BROKEN);
  });

  // A resumed stream must not end with the text of an error, nor as if complete.
  const NO_CONTINUATIONS: Readonly<Record<string, AttemptScript>> = {
    'an error as events': () =>
      respondWith({status: 404, isEventStream: true}, ['id: 3\ndata: x\n\n']),
    'an error without events': () =>
      respondWith({status: 404, isEventStream: true}),
    'a whole body': () => respondWith({status: 404}, ['not found']),
    'no event': () => respondWith({isEventStream: true}),
    'the end of its connection': () =>
      respondWith({isEventStream: true, isSelfDelimiting: false}),
    'an event that is none': () =>
      respondWith({isEventStream: true}, ['error\nid: 3\ndata: x\n\n']),
  };

  for (const [name, continuation] of Object.entries(NO_CONTINUATIONS)) {
    it(`ends a stream as broken that is resumed with ${name}`, async () => {
      const {result} = await dispatchWith(
        createRequest(RequestKind.STREAM, true),
        () => respondWithEvents([1, 2], false),
        continuation,
      );
      const {text, end} = await readAnswer(result);
      expect(text).to.equal('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
      expect(end).to.equal(AnswerEnd.BROKEN);
    });
  }

  it('takes a stream without length or events for broken, and resumes it', async () => {
    const {result} = await dispatchWith(
      createRequest(RequestKind.STREAM, true),
      () => respondWith({isEventStream: true, isSelfDelimiting: false}),
      () => respondWithEvents([1, 2], true),
    );
    const {text, end} = await readAnswer(result);
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('never shows a stream without length or events as whole', async () => {
    const {result} = await dispatchWith(createRequest(RequestKind.STREAM), () =>
      respondWith({isEventStream: true, isSelfDelimiting: false}),
    );
    expect(result.err && result.val.kind).to.equal(ErrorKind.UPSTREAM_BROKEN);
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
  });

  it('quarantines a request after three broken connections', async () => {
    const connector = new ScriptedConnector([
      connectionLost,
      connectionLost,
      connectionLost,
    ]);
    const dispatcher = createTestDispatcher(connector);
    const once = () =>
      dispatcher.dispatch(createRequest(RequestKind.NON_IDEMPOTENT));
    for (let crash = 0; crash < 3; crash += 1) {
      await once();
      await clock.tickAsync(2_000);
    }
    const result = await once();
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.REQUEST_QUARANTINED,
    );
    expect(connector.upstreamIds).to.have.length(3);
  });

  it('quarantines no request that succeeds between broken connections', async () => {
    const connector = new ScriptedConnector([
      connectionLost,
      connectionLost,
      whole,
      connectionLost,
      whole,
    ]);
    const dispatcher = createTestDispatcher(connector);
    for (let turn = 0; turn < 4; turn += 1) {
      await dispatcher.dispatch(createRequest(RequestKind.NON_IDEMPOTENT));
      await clock.tickAsync(2_000);
    }
    const result = await dispatcher.dispatch(
      createRequest(RequestKind.NON_IDEMPOTENT),
    );
    expect(result.ok).to.equal(true);
  });

  it('gives free slots to queued requests by priority', async () => {
    upstreams = [testUpstream('one', ['m'], {slots: 1})];
    const order: string[] = [];
    const releases: (() => void)[] = [];
    const held: AttemptScript = () =>
      new Promise(resolve =>
        releases.push(() => resolve(respondWith({}, ['ok']))),
      );
    const connector = new ScriptedConnector([held, held, held]);
    const dispatcher = createTestDispatcher(connector);
    const send = async (name: string, priority: number) => {
      const route = testRoute({priority});
      const request = testRequest({
        route,
        requestId: name,
        modelRequest: testModelRequest('m'),
      });
      await dispatcher.dispatch(request);
      order.push(name);
    };
    const all = [send('first', 2), send('late', 2), send('urgent', 0)];
    for (let turn = 0; turn < 3; turn += 1) {
      await clock.tickAsync(10);
      releases.shift()?.();
      await clock.tickAsync(10);
    }
    await Promise.all(all);
    expect(order).to.eql(['first', 'urgent', 'late']);
  });
});
