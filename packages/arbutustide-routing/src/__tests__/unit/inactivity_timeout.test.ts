// Guards against requests that wait until the deadline for an upstream that was
// lost without a reset, and against repeating requests at other upstreams when
// an engine is only busy.
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  createDispatcher,
  respondWith,
  eventIdsIn,
  readAnswer,
  createRequest,
  ScriptedConnector,
  neverRespond,
  respondWithEvents,
} from './scripted_connector.js';

describe('inactivity timeout of upstreams', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
  });
  afterEach(() => clock.uninstall());

  function dispatch(connector: ScriptedConnector, kind: RequestKind) {
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
    );
    return dispatcher.dispatch(
      createRequest(kind, kind === RequestKind.STREAM),
    );
  }

  const whole: AttemptScript = () => respondWith({}, ['who', 'le']);

  async function dispatchToInactive(
    kind: RequestKind,
    ...scripts: AttemptScript[]
  ) {
    const connector = new ScriptedConnector(scripts);
    const answer = dispatch(connector, kind);
    await clock.tickAsync(1_500);
    return {answer, connector};
  }

  it('retries elsewhere while the caller still waits for an inactive upstream', async () => {
    const {answer, connector} = await dispatchToInactive(
      RequestKind.IDEMPOTENT,
      neverRespond,
      whole,
    );
    expect(new Set(connector.upstreamIds).size).to.equal(2);
    expect(String((await answer).unwrap().body)).to.equal('whole');
  });

  it('retries a stream elsewhere if its engine sends data to no request', async () => {
    const connector = new ScriptedConnector([
      neverRespond,
      () => respondWithEvents([1], true),
    ]);
    const answer = dispatch(connector, RequestKind.STREAM);
    await clock.tickAsync(1_500);
    expect(connector.upstreamIds).to.have.length(2);
    expect((await readAnswer(await answer)).end).to.equal(AnswerEnd.WHOLE);
  });

  it('waits for an engine that sends data to other requests', async () => {
    const connector = new ScriptedConnector([neverRespond]);
    void dispatch(connector, RequestKind.STREAM);
    for (let round = 0; round < 15; round += 1) {
      await clock.tickAsync(100);
      upstreams.forEach(upstream => upstream.reachability.recordData());
    }
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('waits for an inactive upstream if the request is not idempotent', async () => {
    const {answer, connector} = await dispatchToInactive(
      RequestKind.NON_IDEMPOTENT,
      neverRespond,
    );
    expect(connector.upstreamIds).to.have.length(1);
    expect(await Promise.race([answer, 'still waiting'])).to.equal(
      'still waiting',
    );
  });

  it('waits for an inactive upstream if no other has a free slot', async () => {
    upstreams = [testUpstream('one', ['m'])];
    const {connector} = await dispatchToInactive(
      RequestKind.IDEMPOTENT,
      neverRespond,
    );
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('resumes a stream whose upstream became inactive after its first event', async () => {
    const pause: AttemptScript = (_upstream, {cancellation: cancel}) => {
      const body = (async function* () {
        yield Buffer.from('id: 1\ndata: x\n\n');
        await new Promise(resolve => cancel.onCancel(resolve));
        throw new AttemptError(AttemptFailure.CANCELLED, 'given up');
      })();
      return respondWith({isEventStream: true, body});
    };
    const connector = new ScriptedConnector([
      pause,
      () => respondWithEvents([2, 3], true),
    ]);
    const answer = await dispatch(connector, RequestKind.STREAM);
    const reading = readAnswer(answer);
    await clock.tickAsync(1_500);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.resumedAfterIds).to.eql([undefined, 1]);
  });

  it('keeps a silent stream whose replacement is refused', async () => {
    const going = new Cancellation();
    const pause: AttemptScript = (_upstream, {cancellation: cancel}) => {
      const body = (async function* () {
        yield Buffer.from('id: 1\ndata: x\n\n');
        await new Promise<void>((resolve, reject) => {
          cancel.onCancel(() =>
            reject(new AttemptError(AttemptFailure.CANCELLED, 'given up')),
          );
          going.onCancel(() => resolve());
        });
        yield Buffer.from('id: 2\ndata: x\n\n');
      })();
      return respondWith({isEventStream: true, body});
    };
    const connector = new ScriptedConnector([
      pause,
      () => respondWith({status: 503, isNotRun: true}),
    ]);
    const answer = await dispatch(connector, RequestKind.STREAM);
    const reading = readAnswer(answer);
    await clock.tickAsync(1_500);
    expect(connector.upstreamIds).to.have.length(2);
    going.cancel(undefined);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('does not take a caller that reads slowly for an inactive upstream', async () => {
    const cancelled: unknown[] = [];
    const paced: AttemptScript = (_upstream, {cancellation: cancel}) => {
      cancel.onCancel(reason => cancelled.push(reason));
      return respondWithEvents([1, 2], true);
    };
    const connector = new ScriptedConnector([paced]);
    const answer = await dispatch(connector, RequestKind.STREAM);
    const {body} = answer.unwrap();
    if (Buffer.isBuffer(body)) throw new Error('the answer is no stream');
    await body.next();
    await clock.tickAsync(1_500);
    expect(cancelled).to.eql([]);
    expect((await body.next()).done).to.equal(false);
    expect((await body.next()).value).to.equal(AnswerEnd.WHOLE);
  });

  it('ejects no upstream for a single silence, however many requests met it', () => {
    const [upstream] = upstreams;
    const beganAt = performance.now();
    clock.tick(1_000);
    for (let request = 0; request < 5; request += 1)
      upstream.recordSilence(beganAt);
    expect(upstream.isEjected).to.equal(false);
    for (let silence = 0; silence < 2; silence += 1) {
      const laterBeganAt = performance.now();
      clock.tick(1_000);
      upstream.recordSilence(laterBeganAt);
    }
    expect(upstream.isEjected).to.equal(true);
  });
});
