/**
 * Guards against a host that is behind and cuts streams whose callers still wait:
 * it takes each request for as old as it can be, which may be seconds too much.
 */
import type {RoutedRequest} from '../../proxy/routed_request.js';

import type {AttemptScript} from './scripted_connector.js';

import {delay, ErrorKind} from '@arbutustide/errors';
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
  neverRespond,
  readAnswer,
  respondWith,
  ScriptedConnector,
} from './scripted_connector.js';

/** Longer than half of the requests' time. */
const UNREAD_MILLISECONDS = 3_000;

describe('deadline of a request that can have waited unread', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  async function dispatchWith(request: RoutedRequest, script: AttemptScript) {
    const upstreams = [testUpstream('one', ['m'])];
    const connector = new ScriptedConnector([script]);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
    );
    return {result: await dispatcher.dispatch(request)};
  }

  /** A stream whose request can have arrived long before it was read. */
  function streamReadLate(): RoutedRequest {
    const request = createRequest(RequestKind.STREAM);
    return {
      ...request,
      arrivedAtMilliseconds:
        request.arrivedAtMilliseconds - UNREAD_MILLISECONDS,
      unreadMilliseconds: UNREAD_MILLISECONDS,
      deadlineAtMilliseconds:
        request.deadlineAtMilliseconds - UNREAD_MILLISECONDS,
    };
  }

  /** One event a second, until the attempt is cancelled. */
  const respondSlowly =
    (count: number): AttemptScript =>
    (_upstream, {cancellation}) => {
      const body = (async function* () {
        for (let id = 1; id <= count; id += 1) {
          if (cancellation.isCancelled) throw connectionLostError();
          yield Buffer.from(`id: ${id}\ndata: x\n\n`);
          await delay(1_000);
        }
      })();
      return respondWith({isEventStream: true, body});
    };

  // On a host that is behind, a stream must not be cut while its caller waits.
  it('lets a stream go on until its deadline has certainly passed', async () => {
    let remaining = 0;
    const {result} = await dispatchWith(streamReadLate(), (upstream, terms) => {
      remaining = terms.remainingMilliseconds;
      return respondSlowly(4)(upstream, terms);
    });
    const answer = readAnswer(result);
    await clock.tickAsync(5_000);
    const {text, end} = await answer;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(remaining).to.equal(5_000);
  });

  it('cuts a stream at the latest deadline', async () => {
    const {result} = await dispatchWith(streamReadLate(), respondSlowly(8));
    const answer = readAnswer(result);
    await clock.tickAsync(8_000);
    const {text, end} = await answer;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4, 5]);
    expect(end).to.equal(AnswerEnd.BROKEN);
  });

  it('gives up at the earliest deadline what has not begun', async () => {
    const playing = dispatchWith(streamReadLate(), neverRespond);
    await clock.tickAsync(5_000 - UNREAD_MILLISECONDS);
    const {result} = await playing;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.UPSTREAM_TIMED_OUT,
    );
  });
});
