/** Guards against streams that a stopping node cuts at the first refusal. */
import type {MemoryMove} from '../../proxy/handover/memory_mover.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {delay} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {MemoryMoveOutcome} from '../../proxy/handover/memory_mover.js';
import {UpstreamState} from '../../proxy/proxy_upstream.js';
import {RequestKind} from '../../proxy/route.js';
import {MEMORY_LOCATION, MovingConnector} from './moving_connector.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  eventIdsIn,
  readAnswer,
  respondWith,
  respondWithEvents,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 4_000;
const REVIEW_MILLISECONDS = 50;
const EVENT_MILLISECONDS = 10;
const UNAVAILABLE_STATUS = 503;

const MOVED: MemoryMove = {
  outcome: MemoryMoveOutcome.MOVED,
  location: MEMORY_LOCATION,
};
const KEPT_AT_SOURCE: MemoryMove = {
  outcome: MemoryMoveOutcome.KEPT_AT_SOURCE,
  location: MEMORY_LOCATION,
};
const NOT_ANSWERED: MemoryMove = {outcome: MemoryMoveOutcome.UNKNOWN};
/** The run breaks off, and was not moved. */
const BROKEN_OFF: MemoryMove = {outcome: MemoryMoveOutcome.IMPOSSIBLE};

describe('stream of a stopping node whose run has ended', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two', 'three'].map(id => testUpstream(id, ['m']));
  });
  afterEach(() => clock.uninstall());

  const goOn: AttemptScript = () => respondWithEvents([3, 4], true);
  const refuse = () =>
    respondWith({status: UNAVAILABLE_STATUS, isNotRun: true});

  /** Plays a stall in a stop, a move of the run, and what follows it. */
  async function play(
    isResumable: boolean,
    move: MemoryMove,
    scripts: AttemptScript[],
    tryConsumeRetry = () => true,
  ) {
    let breakOff: (error: Error) => void = () => {};
    const stall: AttemptScript = (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\n');
          await delay(EVENT_MILLISECONDS);
          yield Buffer.from('id: 2\ndata: x\n\n');
          await new Promise((_resolve, reject) => {
            breakOff = reject;
            cancellation.onCancel(() => reject(connectionLostError()));
          });
        })(),
      });
    const connector = new MovingConnector([stall, ...scripts]);
    connector.move = async () => {
      breakOff(connectionLostError());
      return move;
    };
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {memoryMover: connector, movesMemory: () => true, tryConsumeRetry},
    );
    const request = createRequest(RequestKind.STREAM, isResumable);
    const reading = readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(EVENT_MILLISECONDS);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    for (let at = 0; at < LEFT_MILLISECONDS; at += REVIEW_MILLISECONDS) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
    }
    dispatcher.giveUp();
    await clock.tickAsync(REVIEW_MILLISECONDS);
    const {text, end} = await reading;
    return {connector, end, eventIds: eventIdsIn(text)};
  }

  function expectWhole({end, eventIds}: Awaited<ReturnType<typeof play>>) {
    expect(eventIds).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    const inFlight = upstreams.map(({ownInFlight}) => ownInFlight);
    expect(inFlight).to.eql([0, 0, 0]);
  }

  /** Allows the first retry, and others once half of the time is over. */
  function createLateBudget(): () => boolean {
    let consumed = 0;
    return () => {
      consumed += 1;
      return consumed === 1 || performance.now() > LEFT_MILLISECONDS / 2;
    };
  }

  it('is resumed if neither place takes its memory', async () => {
    expectWhole(await play(true, MOVED, [refuse, refuse, goOn]));
  });

  it('is resumed if its upstream does not go on from its memory', async () => {
    expectWhole(await play(true, KEPT_AT_SOURCE, [refuse, goOn]));
  });

  it('is resumed if places refuse it for a while', async () => {
    const refusals = Array.from({length: 4}, () => refuse);
    expectWhole(await play(true, MOVED, [...refusals, goOn]));
  });

  it('goes on from its copy if its move was not answered', async () => {
    const scripts = [goOn];
    expectWhole(await play(true, NOT_ANSWERED, scripts, createLateBudget()));
  });

  it('is resumed once there is a retry if it broke off', async () => {
    const scripts = [goOn];
    expectWhole(await play(true, BROKEN_OFF, scripts, createLateBudget()));
  });

  it('is resumed if the first place refuses it after it broke off', async () => {
    expectWhole(await play(true, BROKEN_OFF, [refuse, goOn]));
  });

  for (const [name, isResumable] of [
    ['is not sent again to one that leaves if it is read anew', true],
    ['is not sent again to one that leaves if it must run once', false],
  ] as const) {
    it(name, async () => {
      const refuseAndLeave: AttemptScript = () => {
        for (const other of upstreams) {
          const {description} = other;
          other.updateDescription({
            ...description,
            state: UpstreamState.LEAVING,
          });
        }
        return refuse();
      };
      const {connector, end} = await play(isResumable, MOVED, [
        refuseAndLeave,
        refuse,
      ]);
      expect(end).to.equal(AnswerEnd.BROKEN);
      // The second refusal is that of the upstream which has its memory.
      expect(connector.upstreamIds).to.have.length(3);
    });
  }

  it('goes on from its memory if it must run once and places refuse it', async () => {
    const refusals = Array.from({length: 3}, () => refuse);
    expectWhole(await play(false, MOVED, [...refusals, goOn]));
  });
});
