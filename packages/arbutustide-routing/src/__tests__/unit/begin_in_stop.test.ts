/**
 * Guards against streams of a node that stops whose callers get the first events
 * although the rest is likely to be cut.
 */
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import {delay, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {HoldTimeDistributions} from '../../proxy/queue/hold_time_distributions.js';
import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  createDispatcher,
  createRequest,
  readAnswer,
  respondWith,
  ScriptedConnector,
} from './scripted_connector.js';

const STREAM_MILLISECONDS = 2_000;

describe('stream that begins while its node stops', () => {
  let clock: ReturnType<typeof install>;
  let upstream: ProxyUpstream;
  let decisions: RequestDecision[];
  let answerPeriod: {endsAtMilliseconds: number};

  beforeEach(() => {
    clock = install();
    upstream = testUpstream('one', ['m']);
    decisions = [];
    answerPeriod = {endsAtMilliseconds: Infinity};
  });
  afterEach(() => clock.uninstall());

  const respond = () =>
    respondWith({
      isEventStream: true,
      body: (async function* () {
        yield Buffer.from('id: 1\ndata: x\n\n');
        await delay(STREAM_MILLISECONDS);
        yield Buffer.from('id: 2\ndata: x\n\n');
      })(),
    });

  /** @param knownCount streams that have ended before the stop. */
  async function play(
    leftMilliseconds: number,
    knownCount = 1,
    isResumable = true,
  ) {
    const attempts = Array.from({length: knownCount + 1}, () => respond);
    const dispatcher = createDispatcher(
      new ScriptedConnector(attempts),
      () => [upstream],
      decision => decisions.push(decision),
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {streamTimes: new HoldTimeDistributions()},
    );
    const dispatch = () =>
      dispatcher.dispatch(createRequest(RequestKind.STREAM, isResumable));
    for (let known = 0; known < knownCount; known += 1) {
      const reading = readAnswer(await dispatch());
      await clock.tickAsync(STREAM_MILLISECONDS);
      await reading;
    }
    answerPeriod.endsAtMilliseconds = performance.now() + leftMilliseconds;
    return dispatch();
  }

  for (const isResumable of [true, false]) {
    it(`is refused if it is not likely to end, resumable: ${isResumable}`, async () => {
      const left = STREAM_MILLISECONDS / 2;
      const result = await play(left, 1, isResumable);
      expect(result.err && result.val.kind).to.equal(
        ErrorKind.UPSTREAM_TIMED_OUT,
      );
      expect(result.err && result.val.ran).to.equal(
        ExecutionStatus.POSSIBLY_EXECUTED,
      );
      expect(decisions.map(({step}) => step)).to.include('refused');
      expect(upstream.ownInFlight).to.equal(0);
    });
  }

  it('begins if it is likely to end', async () => {
    const result = await play(2 * STREAM_MILLISECONDS);
    const reading = readAnswer(result);
    await clock.tickAsync(STREAM_MILLISECONDS);
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
  });

  describe('of a kind that its node has not seen end', () => {
    const halfOfTimeout =
      createRequest(RequestKind.STREAM, true).route.timeoutMilliseconds / 2;

    it('begins while half of the timeout of its route is left', async () => {
      expect((await play(halfOfTimeout, 0)).ok).to.equal(true);
    });

    it('is refused if less is left', async () => {
      const result = await play(halfOfTimeout - 1, 0);
      expect(result.err && result.val.kind).to.equal(
        ErrorKind.UPSTREAM_TIMED_OUT,
      );
    });
  });
});
