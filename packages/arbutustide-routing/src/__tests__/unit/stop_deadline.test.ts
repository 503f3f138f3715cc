/**
 * Guards against upstreams that work in vain for a node that stops, or that are
 * blamed because they ended their work when that node had told them to.
 */
import type {RoutedRequest} from '../../proxy/routed_request.js';

import type {AttemptScript} from './scripted_connector.js';

import {createRefusalAnswer, delay, ExecutionStatus} from '@arbutustide/errors';
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
  ScriptedConnector,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 1_000;

describe('request that a stopping node sends to an upstream', () => {
  let clock: ReturnType<typeof install>;
  let remaining: number[];
  let endsAtMilliseconds: number;

  beforeEach(() => {
    clock = install();
    remaining = [];
    endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
  });
  afterEach(() => clock.uninstall());

  const upstream = () => testUpstream('one', ['m']);

  function dispatchWith(
    script: AttemptScript,
    request: RoutedRequest,
    used = upstream(),
  ) {
    const recorded: AttemptScript = (target, terms) => {
      remaining.push(terms.remainingMilliseconds);
      return script(target, terms);
    };
    const dispatcher = createDispatcher(
      new ScriptedConnector([recorded]),
      () => [used],
      () => {},
      undefined,
      undefined,
      undefined,
      {endsAtMilliseconds},
    );
    return dispatcher.dispatch(request);
  }

  /** A stream that ends when its time is over. */
  const stopWhenDue =
    (isClean: boolean): AttemptScript =>
    (_, {remainingMilliseconds}) => {
      const body = (async function* () {
        yield Buffer.from('id: 1\ndata: x\n\n');
        await delay(remainingMilliseconds);
        if (!isClean) throw connectionLostError();
      })();
      return respondWith({isEventStream: true, body});
    };

  for (const kind of [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM]) {
    it(`has at most the time that the node has left: ${kind}`, async () => {
      await dispatchWith(() => respondWith({}), createRequest(kind));
      expect(remaining).to.eql([LEFT_MILLISECONDS]);
    });
  }

  it('is refused as not run if it waited there until its time was over', async () => {
    const turnAway: AttemptScript = async (_, {remainingMilliseconds}) => {
      await delay(remainingMilliseconds);
      return respondWith({status: 503, isNotRun: true});
    };
    const request = createRequest(RequestKind.NON_IDEMPOTENT);
    const playing = dispatchWith(turnAway, request);
    await clock.tickAsync(LEFT_MILLISECONDS);
    const result = await playing;
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(result.err && createRefusalAnswer(result.val, '').status).to.equal(
      503,
    );
  });

  it('has until its deadline while the node does not stop', async () => {
    endsAtMilliseconds = Infinity;
    const request = createRequest(RequestKind.NON_IDEMPOTENT);
    await dispatchWith(() => respondWith({}), request);
    expect(remaining).to.eql([
      request.deadlineAtMilliseconds - request.arrivedAtMilliseconds,
    ]);
  });

  it('is whole if it ends regularly while the node does not stop', async () => {
    endsAtMilliseconds = Infinity;
    const request = {
      ...createRequest(RequestKind.NON_IDEMPOTENT),
      deadlineAtMilliseconds: performance.now() + LEFT_MILLISECONDS,
      unreadMilliseconds: LEFT_MILLISECONDS,
    };
    const endLater: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\n');
          await delay(LEFT_MILLISECONDS * 1.5);
        })(),
      });
    const answer = readAnswer(await dispatchWith(endLater, request));
    await clock.tickAsync(LEFT_MILLISECONDS * 2);
    expect((await answer).end).to.equal(AnswerEnd.WHOLE);
  });

  for (const isClean of [true, false]) {
    it(`is broken when its time is over, clean end: ${isClean}`, async () => {
      const used = upstream();
      let failures = 0;
      used.recordFailure = () => (failures += 1);
      const request = createRequest(RequestKind.STREAM);
      const answer = readAnswer(
        await dispatchWith(stopWhenDue(isClean), request, used),
      );
      await clock.tickAsync(LEFT_MILLISECONDS);
      expect((await answer).end).to.equal(AnswerEnd.BROKEN);
      expect(failures).to.equal(0);
    });
  }
});
