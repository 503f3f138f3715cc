/** Guards against a stream cut in a stop whose log does not tell what it waited for. */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {AttemptScript} from './scripted_connector.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RequestKind} from '../../proxy/route.js';
import {testRoute, testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  readAnswer,
  respondWith,
  ScriptedConnector,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 4_000;
const REVIEW_MILLISECONDS = 50;
/** A quarter of the time after which the callers of the route leave. */
const PATIENCE_MILLISECONDS = 500;

describe('log of a stream that is cut as its node stops', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  /** Sends these events, and nothing more until it is cancelled. */
  const holdBackAfter =
    (eventIds: readonly number[]): AttemptScript =>
    (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          for (const id of eventIds)
            yield Buffer.from(`id: ${id}\ndata: x\n\n`);
          await new Promise((_resolve, reject) =>
            cancellation.onCancel(() => reject(connectionLostError())),
          );
        })(),
      });

  it('names each attempt, its urgency and how long the last one waited', async () => {
    const upstreams: ProxyUpstream[] = ['one', 'two'].map(id =>
      testUpstream(id, ['m']),
    );
    const decisions: RequestDecision[] = [];
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const dispatcher = createDispatcher(
      new ScriptedConnector([
        holdBackAfter([1, 2]),
        holdBackAfter([]),
        holdBackAfter([]),
      ]),
      () => upstreams,
      decision => decisions.push(decision),
      undefined,
      undefined,
      undefined,
      answerPeriod,
    );
    const request = createRequest(RequestKind.STREAM, true);
    const reading = readAnswer(
      await dispatcher.dispatch({
        ...request,
        route: testRoute({...request.route, priority: 0}),
        deadlineAtMilliseconds: performance.now() + 2 * LEFT_MILLISECONDS,
      }),
    );
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    for (let at = 0; at < LEFT_MILLISECONDS; at += REVIEW_MILLISECONDS) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
      for (const {reachability} of upstreams) reachability.recordData();
    }
    dispatcher.giveUp();
    await reading;
    const ended = decisions.find(({step}) => step === 'ended');
    const traces = ended?.attemptTraces ?? [];
    expect(traces.map(({upstream, isUrgent}) => [upstream, isUrgent])).to.eql([
      ['one', false],
      ['two', true],
      ['one', true],
    ]);
    const [{sentAfterMilliseconds: handedOverAfter}] = traces.slice(1);
    expect(handedOverAfter).to.be.at.least(PATIENCE_MILLISECONDS);
    const [{sentAfterMilliseconds, load}] = traces.slice(2);
    expect(load).to.be.a('number');
    const waited = ended?.replacementWaitMilliseconds ?? 0;
    expect(waited + sentAfterMilliseconds).to.equal(LEFT_MILLISECONDS);
    expect(ended?.otherStreams).to.equal(0);
  });
});
