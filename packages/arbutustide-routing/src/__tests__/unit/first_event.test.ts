/**
 * Guards against callers that get the head of a stream before there is an event,
 * and after that a cut answer in place of a refusal.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptOptions} from '../../proxy/proxy_connector.js';
import type {AttemptScript} from './scripted_connector.js';

import {
  Cancellation,
  delay,
  ErrorKind,
  ExecutionStatus,
} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

const WAIT_MILLISECONDS = 1_000;

describe('stream whose upstream has sent a head and no event', () => {
  let clock: ReturnType<typeof install>;
  let upstream: ProxyUpstream;

  beforeEach(() => {
    clock = install();
    upstream = testUpstream('one', ['m']);
  });
  afterEach(() => clock.uninstall());

  function dispatchTo(script: AttemptScript) {
    const disconnection = new Cancellation();
    const dispatcher = createDispatcher(
      new ScriptedConnector([script]),
      () => [upstream],
      () => {},
    );
    const request = {...createRequest(RequestKind.STREAM), disconnection};
    let hasAnswer = false;
    const answer = dispatcher.dispatch(request).finally(() => {
      hasAnswer = true;
    });
    return {answer, disconnection, hasAnswer: () => hasAnswer};
  }

  /** Sends a head; waits for the end of the attempt before the first event. */
  const holdBack: AttemptScript = (_upstream, {cancellation}: AttemptOptions) =>
    respondWith({
      isEventStream: true,
      body: (async function* () {
        await new Promise(resolve => cancellation.onCancel(resolve));
        yield* [];
        throw connectionLostError();
      })(),
    });

  it('is not answered before its first event', async () => {
    const {answer, hasAnswer} = dispatchTo(() =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          await delay(WAIT_MILLISECONDS);
          yield Buffer.from('id: 1\ndata: x\n\n');
        })(),
      }),
    );
    await clock.tickAsync(WAIT_MILLISECONDS - 1);
    expect(hasAnswer()).to.equal(false);
    await clock.tickAsync(1);
    const {text, end} = await readAnswer(await answer);
    expect(text).to.equal('id: 1\ndata: x\n\n');
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(upstream.ownInFlight).to.equal(0);
  });

  it('is whole if it ends regularly', async () => {
    const {answer} = dispatchTo(() => respondWithEvents([], true));
    const {text, end} = await readAnswer(await answer);
    expect(text).to.equal('');
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('is refused if it breaks off, as one that may have run', async () => {
    const {answer} = dispatchTo(() => respondWithEvents([], false));
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(ErrorKind.UPSTREAM_BROKEN);
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
    expect(upstream.ownInFlight).to.equal(0);
  });

  it('is refused at its deadline, as one that may have run', async () => {
    const {answer} = dispatchTo(holdBack);
    await clock.tickAsync(60_000);
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.UPSTREAM_TIMED_OUT,
    );
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
  });

  it('is cancelled at once when its caller leaves', async () => {
    const {answer, disconnection} = dispatchTo(holdBack);
    await clock.tickAsync(WAIT_MILLISECONDS);
    disconnection.cancel('gone');
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(ErrorKind.CALLER_GONE);
    expect(upstream.ownInFlight).to.equal(0);
  });

  it('gives its slot back if nothing of it is read', async () => {
    const {answer} = dispatchTo(() => respondWithEvents([1, 2], true));
    const {body} = (await answer).unwrap();
    if (Buffer.isBuffer(body)) throw new Error('expected a stream');
    await body.return(AnswerEnd.ABANDONED);
    expect(upstream.ownInFlight).to.equal(0);
  });
});
