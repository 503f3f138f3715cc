/**
 * Guards against streams of a stopping node that change from the line of one
 * busy upstream to the end of another line until their node ends.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {delay} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {HIGHEST_PRIORITY} from '../../proxy/routed_request.js';
import {RequestKind} from '../../proxy/route.js';
import {testRoute, testUpstream} from './proxy_fixtures.js';
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

const LEFT_MILLISECONDS = 7_000;
const REVIEW_MILLISECONDS = 50;
const EVENT_MILLISECONDS = 10;
const WAIT_MILLISECONDS = 3_000;
const LOWER_PRIORITY = 1;

/** What an upstream does while a stream waits in its line. */
enum Liveness {
  SERVES_OTHERS,
  ANSWERS_PROBES,
  SILENT,
}

describe('replacement that waits in line at an upstream', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let connector: ScriptedConnector;

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
  });
  afterEach(() => clock.uninstall());

  const stall: AttemptScript = (_upstream, {cancellation}) =>
    respondWith({
      isEventStream: true,
      body: (async function* () {
        for (const id of [1, 2]) {
          yield Buffer.from(`id: ${id}\ndata: x\n\n`);
          await delay(EVENT_MILLISECONDS);
        }
        await new Promise((_resolve, reject) =>
          cancellation.onCancel(() => reject(connectionLostError())),
        );
      })(),
    });
  /** Sends its head at once and its events when it has waited. */
  const waitInLineFor =
    (eventIds: readonly number[]): AttemptScript =>
    (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          await Promise.race([
            delay(WAIT_MILLISECONDS),
            new Promise((_resolve, reject) =>
              cancellation.onCancel(() => reject(connectionLostError())),
            ),
          ]);
          for (const id of eventIds)
            yield Buffer.from(`id: ${id}\ndata: x\n\n`);
        })(),
      });

  const goOn: AttemptScript = () => respondWithEvents([3, 4], true);

  /** Ids of the events of a stream that stalls in a stop. */
  async function play(
    scripts: AttemptScript[],
    priority: number,
    liveness: Liveness,
  ): Promise<number[]> {
    connector = new ScriptedConnector(scripts);
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {
        paths: {
          recordNoPath: () => {},
          whenOthersAnswer: () => {},
          suspect: ({reachability}) => {
            if (liveness === Liveness.ANSWERS_PROBES)
              reachability.recordAnswer(performance.now());
          },
        },
      },
    );
    const request = createRequest(RequestKind.STREAM, true);
    const reading = readAnswer(
      await dispatcher.dispatch({
        ...request,
        route: testRoute({...request.route, priority}),
        deadlineAtMilliseconds: performance.now() + 2 * LEFT_MILLISECONDS,
      }),
    );
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    for (let at = 0; at < LEFT_MILLISECONDS; at += REVIEW_MILLISECONDS) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
      if (liveness !== Liveness.SERVES_OTHERS) continue;
      for (const {reachability} of upstreams) reachability.recordData();
    }
    dispatcher.giveUp();
    return eventIdsIn((await reading).text);
  }

  for (const priority of [HIGHEST_PRIORITY, LOWER_PRIORITY]) {
    describe(`of priority ${priority}`, () => {
      it('gives it up for a more urgent place where it was', async () => {
        const scripts = [stall, waitInLineFor([3, 4]), goOn];
        const ids = await play(scripts, priority, Liveness.SERVES_OTHERS);
        expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
        expect(ids).to.eql([1, 2, 3, 4]);
      });

      it('keeps that one while the upstream serves others', async () => {
        const scripts = [stall, waitInLineFor([3, 4]), waitInLineFor([3, 4])];
        const ids = await play(scripts, priority, Liveness.SERVES_OTHERS);
        expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
        expect(ids).to.eql([1, 2, 3, 4]);
      });

      it('keeps that one while the upstream answers probes', async () => {
        const scripts = [stall, waitInLineFor([3, 4]), waitInLineFor([3, 4])];
        const ids = await play(scripts, priority, Liveness.ANSWERS_PROBES);
        expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
        expect(ids).to.eql([1, 2, 3, 4]);
      });

      it('gives that one up if the upstream is silent', async () => {
        const scripts = [
          stall,
          waitInLineFor([3, 4]),
          waitInLineFor([3, 4]),
          goOn,
        ];
        const ids = await play(scripts, priority, Liveness.SILENT);
        expect(connector.upstreamIds).to.eql(['one', 'two', 'one', 'two']);
        expect(ids).to.eql([1, 2, 3, 4]);
      });
    });
  }

  it('is kept by a stream that is served most urgently already', async () => {
    const goOnAndStall: AttemptScript = (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 3\ndata: x\n\n');
          await new Promise((_resolve, reject) =>
            cancellation.onCancel(() => reject(connectionLostError())),
          );
        })(),
      });
    const ids = await play(
      [stall, goOnAndStall, waitInLineFor([4])],
      HIGHEST_PRIORITY,
      Liveness.SERVES_OTHERS,
    );
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(ids).to.eql([1, 2, 3, 4]);
  });
});
