/**
 * Guards against answers of troubled upstreams: they ask for a pause, leave,
 * send bytes without end, or stall in a stream.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RoutedRequest} from '../../proxy/routed_request.js';
import type {AttemptScript} from './scripted_connector.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  eventIdsIn,
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

describe('troubled upstreams', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
  });
  afterEach(() => clock.uninstall());

  async function dispatchWith(
    request: RoutedRequest,
    ...scripts: AttemptScript[]
  ) {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
    );
    return {result: await dispatcher.dispatch(request), connector};
  }

  const whole: AttemptScript = () => respondWith({}, ['who', 'le']);

  it('sends nothing to an upstream that asked for a pause until it is over', async () => {
    const pause: AttemptScript = () =>
      respondWith({status: 503, isNotRun: true, backOffMilliseconds: 3_000});
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.NON_IDEMPOTENT),
      pause,
      whole,
    );
    expect(result.ok).to.equal(true);
    const [paused, used] = connector.upstreamIds;
    for (let count = 0; count < 3; count += 1) {
      const next = await dispatchWith(
        createRequest(RequestKind.IDEMPOTENT),
        whole,
      );
      expect(next.connector.upstreamIds).to.eql([used]);
    }
    await clock.tickAsync(3_001);
    const {remainingBackOffMilliseconds} =
      upstreams.find(({id}) => id === paused) ?? upstreams[0];
    expect(remainingBackOffMilliseconds).to.equal(0);
  });

  it('refuses at once, with the time left, when all upstreams asked for a pause', async () => {
    for (const upstream of upstreams) upstream.recordBackOff(4_000);
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.IDEMPOTENT),
    );
    expect(connector.upstreamIds).to.eql([]);
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(result.err && result.val.retryAfterMilliseconds).to.equal(4_000);
  });

  for (const [name, leave] of Object.entries<AttemptScript>({
    'a complete answer': () => respondWith({isLeaving: true}, ['whole']),
    'an error': () =>
      respondWith({status: 503, isNotRun: true, isLeaving: true}),
    'the head of a stream': () =>
      respondWith({
        isLeaving: true,
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\n');
        })(),
      }),
  })) {
    it(`sends nothing new to an upstream that says in ${name} that it leaves`, async () => {
      upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
      const {connector} = await dispatchWith(
        createRequest(RequestKind.STREAM),
        leave,
        whole,
      );
      const [left] = connector.upstreamIds;
      const next = await dispatchWith(createRequest(RequestKind.STREAM), whole);
      expect(next.connector.upstreamIds).to.not.include(left);
    });
  }

  it("ends an answer without end, which is nobody's answer", async () => {
    let sentBytes = 0;
    const endless: AttemptScript = () =>
      respondWith({
        body: (async function* () {
          for (;;) {
            sentBytes += 65_536;
            yield Buffer.alloc(65_536);
          }
        })(),
      });
    const {result} = await dispatchWith(
      createRequest(RequestKind.NON_IDEMPOTENT),
      endless,
    );
    expect(result.err && result.val.kind).to.equal(ErrorKind.ANSWER_INCOMPLETE);
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
    expect(sentBytes).to.be.lessThan(8 * 1_024 * 1_024);
  });

  it('resumes a stream whose event has no end at another upstream', async () => {
    let sentBytes = 0;
    const endlessEvent: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: ');
          for (;;) {
            sentBytes += 65_536;
            yield Buffer.alloc(65_536, 'a');
          }
        })(),
      });
    const {result, connector} = await dispatchWith(
      createRequest(RequestKind.STREAM, true),
      endlessEvent,
      () => respondWithEvents([2, 3], true),
    );
    const {text, end} = await readAnswer(result);
    expect(eventIdsIn(text)).to.eql([1, 2, 3]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.resumedAfterIds).to.eql([undefined, 1]);
    expect(sentBytes).to.be.lessThan(4 * 1_024 * 1_024);
  });

  it('replaces a stalled stream that sends a byte now and then', async () => {
    const trickling: AttemptScript = (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\nid: 2');
          for (;;) {
            await new Promise(resolve => setTimeout(resolve, 300));
            if (cancellation.isCancelled) throw connectionLostError();
            yield Buffer.from('0');
          }
        })(),
      });
    const {result} = await dispatchWith(
      createRequest(RequestKind.STREAM, true),
      trickling,
      () => respondWithEvents([2], true),
    );
    const reading = readAnswer(result);
    await clock.tickAsync(4_000);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('keeps a slow stream that makes progress', async () => {
    const eventCount = 6;
    const slow: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          for (let id = 1; id <= eventCount; id += 1) {
            await new Promise(resolve => setTimeout(resolve, 700));
            yield Buffer.from(`id: ${id}\ndata: x\n\n`);
          }
        })(),
      });
    const dispatched = dispatchWith(
      createRequest(RequestKind.STREAM, true),
      slow,
    );
    await clock.tickAsync(1_000);
    const {result, connector} = await dispatched;
    const reading = readAnswer(result);
    await clock.tickAsync(4_000);
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds.length).to.equal(1);
  });
});
