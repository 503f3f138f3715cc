/** Guards against streams of a slow pace that are found to stall too late. */
import type {AttemptScript} from './scripted_connector.js';

import {delay} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
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
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

const GRACE_MILLISECONDS = 8_000;
/** What is taken off before it is not at work when its node ends. */
const LAST_SIXTH_BEGINS_MILLISECONDS = (GRACE_MILLISECONDS * 5) / 6;
/** When a node with this grace period ends its answers. */
const ANSWERS_END_MILLISECONDS = 7_290;
const REVIEW_MILLISECONDS = 50;
const ROUTE = testRoute({
  kind: RequestKind.STREAM,
  isResumable: true,
  callerTimeoutMilliseconds: 12_000,
});
const STEADY_PAUSES = [250];
const SLOW_PAUSES = [400];
const UNEVEN_PAUSES = [200, 310, 240];

describe('stream of a slow pace whose node stops', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  /** A run that pauses for these times by turns, and stalls some time. */
  interface Run {
    readonly pauses: readonly number[];
    /** Since the SIGTERM. */
    readonly stallsAfterMilliseconds: number;
  }

  /** The runs of a stream, and one that ends it. */
  function* createScripts(
    runs: readonly Run[],
    stopsAt: number,
  ): Generator<AttemptScript, void, undefined> {
    let count = 0;
    for (const {pauses, stallsAfterMilliseconds} of runs) {
      yield (_upstream, {cancellation}) =>
        respondWith({
          isEventStream: true,
          body: (async function* () {
            for (;;) {
              const pause = pauses[count % pauses.length];
              const eventAt = performance.now() + pause;
              if (eventAt > stopsAt + stallsAfterMilliseconds) break;
              await delay(pause);
              count += 1;
              yield Buffer.from(`id: ${count}\ndata: x\n\n`);
            }
            await new Promise((_resolve, reject) =>
              cancellation.onCancel(() => reject(connectionLostError())),
            );
          })(),
        });
    }
    yield () => respondWithEvents([count + 1, count + 2], true);
  }

  /** Plays a stop that begins some time after the stream. */
  async function play(...runs: readonly Run[]) {
    const [{pauses}] = runs;
    const stopsAt = performance.now() + GRACE_MILLISECONDS;
    const connector = new ScriptedConnector([...createScripts(runs, stopsAt)]);
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
    );
    const answering = dispatcher.dispatch({
      ...testRequest({route: ROUTE, modelRequest: testModelRequest('m')}),
      deadlineAtMilliseconds: stopsAt + 2 * GRACE_MILLISECONDS,
    });
    await clock.tickAsync(pauses[0]);
    const reading = readAnswer(await answering);
    await clock.tickAsync(stopsAt - performance.now());
    answerPeriod.endsAtMilliseconds = stopsAt + ANSWERS_END_MILLISECONDS;
    while (performance.now() < answerPeriod.endsAtMilliseconds) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
    }
    dispatcher.giveUp();
    await clock.tickAsync(GRACE_MILLISECONDS);
    return {connector, end: (await reading).end};
  }

  for (const [name, pauses] of [
    ['a steady', STEADY_PAUSES],
    ['an uneven', UNEVEN_PAUSES],
  ] as const) {
    for (const stallsAfter of [3_000, 5_000, 6_000, 6_300]) {
      it(`goes on elsewhere if ${name} one stalls after ${stallsAfter} ms`, async () => {
        const {end} = await play({
          pauses,
          stallsAfterMilliseconds: stallsAfter,
        });
        expect(end).to.equal(AnswerEnd.WHOLE);
      });
    }

    it(`stays while ${name} one goes on`, async () => {
      const {connector} = await play({
        pauses,
        stallsAfterMilliseconds: GRACE_MILLISECONDS,
      });
      expect(connector.upstreamIds).to.eql(['one']);
    });
  }

  it('goes on elsewhere if it stalls before the last sixth begins', async () => {
    const {end} = await play({
      pauses: STEADY_PAUSES,
      stallsAfterMilliseconds: LAST_SIXTH_BEGINS_MILLISECONDS,
    });
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('goes on at the first one if a second, quicker one stalls too', async () => {
    const slow = {pauses: SLOW_PAUSES, stallsAfterMilliseconds: 5_460};
    const quick = {
      pauses: STEADY_PAUSES,
      stallsAfterMilliseconds: LAST_SIXTH_BEGINS_MILLISECONDS,
    };
    const {connector, end} = await play(slow, quick);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });
});
