/**
 * Guards against streams that are cut, repeated, joined wrongly or shown as
 * whole as they are handed over from one upstream to another.
 */
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {Cancellation, delay, ErrorKind} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {MemoryMoveOutcome} from '../../proxy/handover/memory_mover.js';
import {RequestKind} from '../../proxy/route.js';
import {MEMORY_LOCATION, MovingConnector} from './moving_connector.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  eventIdsIn,
  neverRespond,
  readAnswer,
  respondWith,
  respondWithEvents,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 4_000;
/** A quarter of the time after which the callers of the route leave. */
const PATIENCE_MILLISECONDS = 500;
const EVENT_MILLISECONDS = 10;
const NEAR_MILLISECONDS = 100;

describe('stream that is handed over as its node stops', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let decisions: RequestDecision[];
  let answerPeriod: {endsAtMilliseconds: number};

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
    decisions = [];
    answerPeriod = {endsAtMilliseconds: Infinity};
  });
  afterEach(() => clock.uninstall());

  /** A stream that stalls after two events until it is cancelled or ends. */
  function stall(ending = new Cancellation(), firstId = 1): AttemptScript {
    return (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from(`id: ${firstId}\ndata: x\n\n`);
          await delay(EVENT_MILLISECONDS);
          yield Buffer.from(`id: ${firstId + 1}\ndata: x\n\n`);
          await new Promise<void>((resolve, reject) => {
            cancellation.onCancel(() => reject(connectionLostError()));
            ending.onCancel(reason =>
              reason === undefined ? resolve() : reject(reason),
            );
          });
        })(),
      });
  }

  const goOn: AttemptScript = () => respondWithEvents([3, 4], true);
  const goOnLater: AttemptScript = () => respondWithEvents([5, 6], true);
  /** Sends the head of a stream, and no event until it is cancelled. */
  const holdBack: AttemptScript = (_upstream, {cancellation}) =>
    respondWith({
      isEventStream: true,
      body: (async function* () {
        await new Promise((_resolve, reject) =>
          cancellation.onCancel(() => reject(connectionLostError())),
        );
        yield Buffer.alloc(0);
      })(),
    });
  const refuse: AttemptScript = () =>
    respondWith({status: 503, isNotRun: true});

  function createTestDispatcher(
    movesMemory: boolean,
    scripts: AttemptScript[],
  ) {
    const connector = new MovingConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      decision => decisions.push(decision),
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {
        memoryMover: connector,
        movesMemory: () => movesMemory,
        streamTimes: {
          record: () => {},
          likelyMilliseconds: () => LEFT_MILLISECONDS / 2,
        },
      },
    );
    return {connector, dispatcher};
  }

  /** Plays a stop in which the stream of the first script is stalled. */
  async function play(
    isResumable: boolean,
    movesMemory: boolean,
    scripts: AttemptScript[],
    prepare: (connector: MovingConnector) => void = () => {},
  ) {
    const {connector, dispatcher} = createTestDispatcher(movesMemory, scripts);
    prepare(connector);
    const request = createRequest(RequestKind.STREAM, isResumable);
    const reading = readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(EVENT_MILLISECONDS);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    await clock.tickAsync(PATIENCE_MILLISECONDS);
    dispatcher.handOverStalledStreams();
    await clock.tickAsync(0);
    return {connector, dispatcher, reading};
  }

  function expectNoSlotTaken(): void {
    expect(upstreams.map(({ownInFlight}) => ownInFlight)).to.eql([0, 0]);
  }

  it('goes on after its last event, more urgently, at another one', async () => {
    const {connector, reading} = await play(true, false, [stall(), goOn]);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(connector.terms[1]).to.include({
      resumeAfterEventId: 2,
      isUrgent: true,
    });
    expectNoSlotTaken();
  });

  it('takes no retry again from what it was handed over from', async () => {
    await (
      await play(true, false, [stall(), goOn])
    ).reading;
    expect(upstreams[0].isEjected).to.equal(false);
    expect(decisions.map(({step}) => step)).to.include('handover');
  });

  it('names in the log where it is handed over to', async () => {
    await (
      await play(true, false, [stall(), goOn])
    ).reading;
    const handover = decisions.find(({step}) => step === 'handover');
    expect(handover).to.include({upstream: 'two'});
  });

  it('goes on where it was if there is no other', async () => {
    upstreams.pop();
    const {connector, reading} = await play(true, false, [stall(), goOn]);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'one']);
    expect(upstreams[0].ownInFlight).to.equal(0);
  });

  it('goes on where it was if the other one does not take it', async () => {
    const scripts = [stall(), refuse, goOn];
    const {connector, reading} = await play(true, false, scripts);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expectNoSlotTaken();
  });

  it('keeps its place until the other one goes on with it', async () => {
    const ending = new Cancellation();
    const scripts = [stall(ending), holdBack];
    const {connector, reading} = await play(true, false, scripts);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    ending.cancel(undefined);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expectNoSlotTaken();
  });

  it('goes on where it was if that one is the first with an event', async () => {
    const steps = [new Cancellation(), new Cancellation(), new Cancellation()];
    const [going, late, ending] = steps.map(
      step => new Promise<void>(resolve => step.onCancel(() => resolve())),
    );
    const first: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\n');
          await delay(EVENT_MILLISECONDS);
          yield Buffer.from('id: 2\ndata: x\n\n');
          await going;
          yield Buffer.from('id: 3\ndata: x\n\n');
          await ending;
          yield Buffer.from('id: 4\ndata: x\n\n');
        })(),
      });
    const second: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          await late;
          yield Buffer.from('id: 3\ndata: y\n\nid: 4\ndata: y\n\n');
        })(),
      });
    const {reading} = await play(true, false, [first, second]);
    for (const step of steps) {
      step.cancel(undefined);
      await clock.tickAsync(0);
    }
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(text).not.to.include('data: y');
    expect(end).to.equal(AnswerEnd.WHOLE);
    expectNoSlotTaken();
  });

  it('goes on from a copy of its memory if it must not run again', async () => {
    const {connector, reading} = await play(false, true, [stall(), goOn]);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql(['one to two']);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(connector.terms[1]).to.include({
      resumeAfterEventId: 2,
      memoryLocation: MEMORY_LOCATION,
    });
    expectNoSlotTaken();
  });

  it('goes on from its memory where it was if the other has no room', async () => {
    const {connector, reading} = await play(
      false,
      true,
      [stall(), goOn],
      moving => {
        moving.move = async () => ({
          outcome: MemoryMoveOutcome.KEPT_AT_SOURCE,
          location: MEMORY_LOCATION,
        });
      },
    );
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'one']);
    expect(connector.terms[1].memoryLocation).to.equal(MEMORY_LOCATION);
    expectNoSlotTaken();
  });

  it('goes on from the memory at its source if the other refuses', async () => {
    const scripts = [stall(), refuse, goOn];
    const {connector, reading} = await play(false, true, scripts);
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(connector.terms[2].memoryLocation).to.equal(MEMORY_LOCATION);
    expectNoSlotTaken();
  });

  it('is resumed if no other has room for its memory', async () => {
    upstreams = [testUpstream('one', ['m'])];
    const {connector, reading} = await play(true, true, [stall(), goOn]);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one', 'one']);
  });

  it('goes on from its memory at an earlier one if no other has room', async () => {
    const scripts = [stall(), stall(new Cancellation(), 3), goOnLater];
    const {connector, dispatcher, reading} = await play(false, true, scripts);
    await clock.tickAsync(EVENT_MILLISECONDS + PATIENCE_MILLISECONDS);
    dispatcher.handOverStalledStreams();
    await clock.tickAsync(0);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4, 5, 6]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql(['one to two', 'two to one']);
    expectNoSlotTaken();
  });

  it('stays if its memory cannot be moved, and ends there whole', async () => {
    const ending = new Cancellation();
    const {connector, reading} = await play(
      false,
      true,
      [stall(ending)],
      moving => {
        moving.move = async () => ({outcome: MemoryMoveOutcome.IMPOSSIBLE});
      },
    );
    ending.cancel(undefined);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one']);
    expect(decisions.map(({step}) => step)).to.include('move_failed');
    expectNoSlotTaken();
  });

  it('is never whole if it may have been stopped for a lost move', async () => {
    const ending = new Cancellation();
    const {reading} = await play(false, true, [stall(ending)], moving => {
      moving.move = async () => ({outcome: MemoryMoveOutcome.UNKNOWN});
    });
    ending.cancel(undefined);
    expect((await reading).end).to.equal(AnswerEnd.BROKEN);
    expectNoSlotTaken();
  });

  it('returns the reserved place if it ends whole meanwhile', async () => {
    const ending = new Cancellation();
    const move = new Cancellation();
    const {connector, reading} = await play(
      false,
      true,
      [stall(ending)],
      moving => {
        moving.move = () =>
          new Promise(resolve =>
            move.onCancel(() =>
              resolve({outcome: MemoryMoveOutcome.IMPOSSIBLE}),
            ),
          );
      },
    );
    ending.cancel(undefined);
    await clock.tickAsync(0);
    move.cancel(undefined);
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one']);
    expectNoSlotTaken();
  });

  it('stays while its caller does not take its events', async () => {
    const {dispatcher} = createTestDispatcher(false, [stall()]);
    const request = createRequest(RequestKind.STREAM, true);
    const {body} = (await dispatcher.dispatch(request)).unwrap();
    if (Buffer.isBuffer(body)) throw new Error('the answer is no stream');
    await body.next();
    const second = body.next();
    await clock.tickAsync(EVENT_MILLISECONDS);
    await second;
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    await clock.tickAsync(PATIENCE_MILLISECONDS);
    dispatcher.handOverStalledStreams();
    expect(decisions.map(({step}) => step)).not.to.include('handover');
    void body.return(AnswerEnd.ABANDONED);
  });

  it('stays if its own deadline is near', async () => {
    const {connector, dispatcher} = createTestDispatcher(true, [stall()]);
    const request = createRequest(RequestKind.STREAM);
    const reading = readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(
      request.deadlineAtMilliseconds - performance.now() - NEAR_MILLISECONDS,
    );
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    dispatcher.handOverStalledStreams();
    expect(connector.moves).to.eql([]);
    dispatcher.giveUp();
    await reading;
  });

  it('stays while its node does not stop', async () => {
    const {dispatcher} = createTestDispatcher(false, [stall()]);
    const request = createRequest(RequestKind.STREAM, true);
    void readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(EVENT_MILLISECONDS + PATIENCE_MILLISECONDS);
    dispatcher.handOverStalledStreams();
    expect(decisions.map(({step}) => step)).not.to.include('handover');
    dispatcher.giveUp();
  });

  it('is refused at once if it has not begun and cannot end in time', async () => {
    const {dispatcher} = createTestDispatcher(false, [neverRespond]);
    const answer = dispatcher.dispatch(createRequest(RequestKind.STREAM, true));
    await clock.tickAsync(0);
    answerPeriod.endsAtMilliseconds = performance.now() + PATIENCE_MILLISECONDS;
    await clock.tickAsync(PATIENCE_MILLISECONDS / 2);
    dispatcher.handOverStalledStreams();
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.UPSTREAM_TIMED_OUT,
    );
    expectNoSlotTaken();
  });
});
