/**
 * Guards against last retries that are spent on streams that have hardly begun,
 * while others are cut near their end.
 */
import type {AttemptScript} from './scripted_connector.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

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

const LEFT_MILLISECONDS = 4_000;
const STALL_MILLISECONDS = 1_000;

describe('handovers of streams that stall together', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  const stallAfter =
    (eventCount: number, afterEventId = 0): AttemptScript =>
    (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          for (let id = 1; id <= eventCount; id += 1)
            yield Buffer.from(`id: ${afterEventId + id}\ndata: x\n\n`);
          await new Promise((_resolve, reject) =>
            cancellation.onCancel(() => reject(connectionLostError())),
          );
        })(),
      });

  it('begin with the one that has most events, if one retry is left', async () => {
    const upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const counts = [2, 9, 5];
    const connector = new ScriptedConnector([
      ...counts.map(count => stallAfter(count)),
      stallAfter(0),
    ]);
    let retries = 1;
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {tryConsumeRetry: () => (retries -= 1) >= 0},
    );
    const readings = [];
    for (let index = 0; index < counts.length; index += 1) {
      const request = createRequest(RequestKind.STREAM, true);
      readings.push(readAnswer(await dispatcher.dispatch(request)));
    }
    await clock.tickAsync(0);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    await clock.tickAsync(STALL_MILLISECONDS - 1);
    dispatcher.handOverStalledStreams();
    await clock.tickAsync(0);
    expect(connector.resumedAfterIds.slice(counts.length)).to.eql([9]);
    dispatcher.giveUp();
    await Promise.all(readings);
  });

  it('begin with the one that was not handed over yet', async () => {
    const upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const goOn: AttemptScript = (upstream, terms) => {
      const {resumeAfterEventId = 0} = terms;
      return stallAfter(1, resumeAfterEventId)(upstream, terms);
    };
    const connector = new ScriptedConnector([
      stallAfter(9),
      goOn,
      stallAfter(2),
      stallAfter(0),
    ]);
    let retries = 1;
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {tryConsumeRetry: () => (retries -= 1) >= 0},
    );
    const readings: Promise<unknown>[] = [];
    const dispatch = async () => {
      const request = createRequest(RequestKind.STREAM, true);
      readings.push(readAnswer(await dispatcher.dispatch(request)));
    };
    await dispatch();
    await clock.tickAsync(0);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    await clock.tickAsync(STALL_MILLISECONDS - 1);
    dispatcher.handOverStalledStreams();
    await clock.tickAsync(0);
    await dispatch();
    await clock.tickAsync(STALL_MILLISECONDS - 1);
    retries = 1;
    dispatcher.handOverStalledStreams();
    await clock.tickAsync(0);
    expect(connector.resumedAfterIds).to.eql([undefined, 9, undefined, 2]);
    dispatcher.giveUp();
    await Promise.all(readings);
  });
});
