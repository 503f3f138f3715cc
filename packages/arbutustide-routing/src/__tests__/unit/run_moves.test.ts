/** Guards against runs that are stopped for a move that cannot take place. */
import type {MemoryCopy} from '../../proxy/handover/memory_mover.js';
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {Cancellation, delay} from '@arbutustide/errors';
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
  readAnswer,
  respondWith,
  respondWithEvents,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 4_000;
const REVIEW_MILLISECONDS = 50;
/** Longer than the next event of a stream is awaited. */
const STALL_MILLISECONDS = 600;
const EVENT_MILLISECONDS = 10;

const NO_ROOM: MemoryCopy = {failure: MemoryMoveOutcome.NO_ROOM};
const NOT_RUNNING: MemoryCopy = {failure: MemoryMoveOutcome.IMPOSSIBLE};

describe('run that is moved as its node stops', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let decisions: RequestDecision[];

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two', 'three'].map(id => testUpstream(id, ['m']));
    decisions = [];
  });
  afterEach(() => clock.uninstall());

  const goOn: AttemptScript = () => respondWithEvents([3, 4], true);

  /** A stream that stalls after two events until it is told to go on or end. */
  function createStall(isSelfDelimiting = true) {
    const goesOn = new Cancellation();
    const ends = new Cancellation();
    const ended = new Cancellation();
    const wait = (step: Cancellation, cancellation: Cancellation) =>
      new Promise<void>((resolve, reject) => {
        step.onCancel(() => resolve());
        cancellation.onCancel(() => reject(connectionLostError()));
      });
    const script: AttemptScript = (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        isSelfDelimiting,
        body: (async function* () {
          yield Buffer.from('id: 1\ndata: x\n\n');
          await delay(EVENT_MILLISECONDS);
          yield Buffer.from('id: 2\ndata: x\n\n');
          await Promise.race([
            wait(goesOn, cancellation),
            wait(ended, cancellation),
          ]);
          if (ended.isCancelled) return;
          yield Buffer.from('id: 3\ndata: x\n\n');
          await wait(ends, cancellation);
        })(),
      });
    return {script, goesOn, ends, ended};
  }

  /** Begins a stream at `one`, and a stop in which it stalls. */
  async function play(
    isResumable: boolean,
    scripts: AttemptScript[],
    copy: MovingConnector['copy'],
    tryConsumeRetry = () => true,
  ) {
    const connector = new MovingConnector(scripts);
    connector.copy = copy;
    const answerPeriod = {endsAtMilliseconds: Infinity};
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      decision => decisions.push(decision),
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
    const review = async (milliseconds: number) => {
      for (let at = 0; at < milliseconds; at += REVIEW_MILLISECONDS) {
        dispatcher.handOverStalledStreams();
        await clock.tickAsync(REVIEW_MILLISECONDS);
      }
    };
    return {connector, reading, review};
  }

  function createBudget(retries: number): () => boolean {
    let left = retries;
    return () => {
      left -= 1;
      return left >= 0;
    };
  }

  function expectNoSlotTaken(): void {
    const inFlight = upstreams.map(({ownInFlight}) => ownInFlight);
    expect(inFlight).to.eql([0, 0, 0]);
  }

  it('goes on while no other upstream has room for it', async () => {
    const {script, goesOn, ends} = createStall();
    const {connector, reading, review} = await play(
      false,
      [script],
      async () => NO_ROOM,
    );
    await review(STALL_MILLISECONDS);
    expect(connector.copies).to.include.members(['one to two', 'one to three']);
    expect(connector.moves).to.eql([]);
    goesOn.cancel(undefined);
    ends.cancel(undefined);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.eql(['one']);
    const move = decisions.find(({step}) => step === 'move_failed');
    expect(move?.moveOutcome).to.equal(MemoryMoveOutcome.NO_ROOM);
    expectNoSlotTaken();
  });

  describe('that must run once and finds no room', () => {
    /** Plays two stalls and the call that stops the run. */
    async function playReadmission(
      move: MovingConnector['move'],
      scripts: AttemptScript[],
    ) {
      const played = await play(false, scripts, async () => NO_ROOM);
      played.connector.move = move;
      await played.review(3 * STALL_MILLISECONDS);
      return played;
    }

    it('goes on from its memory where it is, before others', async () => {
      const {connector, reading} = await playReadmission(
        async () => ({
          outcome: MemoryMoveOutcome.KEPT_AT_SOURCE,
          location: MEMORY_LOCATION,
        }),
        [createStall().script, goOn],
      );
      const {text, end} = await reading;
      expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
      expect(end).to.equal(AnswerEnd.WHOLE);
      expect(connector.upstreamIds).to.eql(['one', 'one']);
      expect(connector.terms[1]).to.include({
        memoryLocation: MEMORY_LOCATION,
        resumeAfterEventId: 2,
        isUrgent: true,
      });
      expect(connector.moves).to.have.length(1);
      expectNoSlotTaken();
    });

    it('goes on elsewhere if there is room when it stops', async () => {
      const {connector, reading} = await playReadmission(
        async () => ({
          outcome: MemoryMoveOutcome.MOVED,
          location: MEMORY_LOCATION,
        }),
        [createStall().script, goOn],
      );
      const {text, end} = await reading;
      expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
      expect(end).to.equal(AnswerEnd.WHOLE);
      expect(connector.moves).to.eql([
        `one to ${connector.upstreamIds.at(-1)}`,
      ]);
      expectNoSlotTaken();
    });

    it('stays if its upstream does not stop it', async () => {
      const {script, goesOn, ends} = createStall();
      const {connector, reading} = await playReadmission(
        async () => ({outcome: MemoryMoveOutcome.IMPOSSIBLE}),
        [script],
      );
      goesOn.cancel(undefined);
      ends.cancel(undefined);
      const {text, end} = await reading;
      expect(eventIdsIn(text)).to.eql([1, 2, 3]);
      expect(end).to.equal(AnswerEnd.WHOLE);
      expect(connector.upstreamIds).to.eql(['one']);
      expectNoSlotTaken();
    });
  });

  it('is moved to the upstream that has room', async () => {
    const {connector, reading, review} = await play(
      false,
      [createStall().script, goOn],
      async ({id}) => (id === 'two' ? NO_ROOM : {location: MEMORY_LOCATION}),
    );
    await review(STALL_MILLISECONDS);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql(['one to three']);
    expect(connector.upstreamIds).to.eql(['one', 'three']);
    expectNoSlotTaken();
  });

  it('stays if its events come while it is copied', async () => {
    const {script, goesOn, ends} = createStall();
    const {connector, reading, review} = await play(
      false,
      [script],
      async () => {
        goesOn.cancel(undefined);
        await clock.tickAsync(0);
        return {location: 'unused'};
      },
    );
    await review(STALL_MILLISECONDS);
    ends.cancel(undefined);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql([]);
    expect(connector.droppedCopies).to.include('unused');
    expectNoSlotTaken();
  });

  it('is moved after another stall if it did not run at first', async () => {
    let isRunning = false;
    const {connector, reading, review} = await play(
      false,
      [createStall().script, goOn],
      async () => (isRunning ? {location: MEMORY_LOCATION} : NOT_RUNNING),
    );
    await review(STALL_MILLISECONDS);
    expect(connector.copies.length).to.be.within(1, 2);
    isRunning = true;
    await review(STALL_MILLISECONDS);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expectNoSlotTaken();
  });

  it('is resumed elsewhere if its copy takes too long', async () => {
    const copied = new Cancellation();
    const {connector, reading, review} = await play(
      true,
      [createStall().script, goOn],
      () =>
        new Promise(resolve =>
          copied.onCancel(() => resolve({location: 'late'})),
        ),
    );
    await review(STALL_MILLISECONDS + LEFT_MILLISECONDS / 4);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql([]);
    copied.cancel(undefined);
    await clock.tickAsync(0);
    expect(connector.droppedCopies).to.eql(['late']);
    expectNoSlotTaken();
  });

  it('awaits its copy for longer if it must run once', async () => {
    const {connector, reading, review} = await play(
      false,
      [createStall().script, goOn],
      async () => {
        await delay(LEFT_MILLISECONDS / 2);
        return {location: MEMORY_LOCATION};
      },
    );
    await review(LEFT_MILLISECONDS - REVIEW_MILLISECONDS);
    expect((await reading).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.moves).to.eql(['one to two']);
    expectNoSlotTaken();
  });

  describe('whose move is not answered', () => {
    /** A move that is not answered and stops the run, or does not. */
    async function playLostMove(
      isResumable: boolean,
      stops: boolean,
      isSelfDelimiting = true,
    ) {
      const {script, goesOn, ends, ended} = createStall(isSelfDelimiting);
      const broken = new Cancellation();
      const first: AttemptScript = async (upstream, terms) => {
        const opened = await script(upstream, {
          ...terms,
          cancellation: broken,
        });
        terms.cancellation.onCancel(() => broken.cancel(undefined));
        return opened;
      };
      const played = await play(
        isResumable,
        [first, goOn],
        async () => ({location: MEMORY_LOCATION}),
        // The move is paid for, and nothing else can be.
        createBudget(1),
      );
      played.connector.move = async () => {
        if (stops) broken.cancel(undefined);
        return {outcome: MemoryMoveOutcome.UNKNOWN, reason: 'timed out'};
      };
      await played.review(STALL_MILLISECONDS);
      return {...played, goesOn, ends, ended, broken};
    }

    for (const isResumable of [false, true]) {
      const kind = isResumable ? 'may be resumed' : 'must run once';
      it(`goes on from its copy if it ${kind} and was stopped`, async () => {
        const {connector, reading} = await playLostMove(isResumable, true);
        const {text, end} = await reading;
        expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
        expect(end).to.equal(AnswerEnd.WHOLE);
        expect(connector.upstreamIds).to.eql(['one', 'two']);
        expect(connector.terms[1].memoryLocation).to.equal(MEMORY_LOCATION);
        expectNoSlotTaken();
      });
    }

    it('goes on from its copy if it breaks off later', async () => {
      const {reading, broken} = await playLostMove(false, false);
      broken.cancel(undefined);
      expect((await reading).end).to.equal(AnswerEnd.WHOLE);
      expectNoSlotTaken();
    });

    it('goes on from its copy if its connection just ends', async () => {
      const {reading, ended} = await playLostMove(false, false, false);
      ended.cancel(undefined);
      const {text, end} = await reading;
      expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
      expect(end).to.equal(AnswerEnd.WHOLE);
      expectNoSlotTaken();
    });

    it('gives up its copy once it has events where it was', async () => {
      const {connector, reading, goesOn, ends} = await playLostMove(
        false,
        false,
      );
      expect(connector.droppedCopies).to.eql([]);
      goesOn.cancel(undefined);
      await clock.tickAsync(0);
      expect(connector.droppedCopies).to.include(MEMORY_LOCATION);
      ends.cancel(undefined);
      const {text, end} = await reading;
      expect(eventIdsIn(text)).to.eql([1, 2, 3]);
      expect(end).to.equal(AnswerEnd.WHOLE);
      expectNoSlotTaken();
    });
  });

  it('is resumed with the retry of a move that found no room', async () => {
    const {connector, reading, review} = await play(
      true,
      [createStall().script, goOn],
      async () => NO_ROOM,
      createBudget(1),
    );
    await review(STALL_MILLISECONDS);
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.have.length(2);
    expectNoSlotTaken();
  });
});
