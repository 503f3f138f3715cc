/**
 * Guards against streams of a stopping node that are cut because their last
 * upstream falls silent as well, while an earlier one would go on with them.
 */
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {delay} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {StayReason} from '../../proxy/handover/handover_decision.js';
import {UpstreamState} from '../../proxy/proxy_upstream.js';
import {DecisionStep} from '../../proxy/request_decision.js';
import {RequestKind} from '../../proxy/route.js';
import {testUpstream} from './proxy_fixtures.js';
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
const SECOND = 1_000;
/** For another upstream to read the prompt and make an event. */
const SHORTEST_LEFT_MILLISECONDS = 250;
const SHORTEST_STALL_MILLISECONDS = 150;

describe('stream whose last upstream stalls in a stop', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let decisions: RequestDecision[];
  let answerPeriod: {endsAtMilliseconds: number};
  let retries: number;

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two'].map(id => testUpstream(id, ['m']));
    decisions = [];
    answerPeriod = {endsAtMilliseconds: Infinity};
    retries = 1_000;
  });
  afterEach(() => clock.uninstall());

  /** A stream that stalls after these events until it is cancelled. */
  const stallAfter =
    (...ids: number[]): AttemptScript =>
    (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          for (const id of ids) {
            yield Buffer.from(`id: ${id}\ndata: x\n\n`);
            await delay(EVENT_MILLISECONDS);
          }
          await new Promise((_resolve, reject) =>
            cancellation.onCancel(() => reject(connectionLostError())),
          );
        })(),
      });
  const endWith =
    (...ids: number[]): AttemptScript =>
    () =>
      respondWithEvents(ids, true);

  /** More runs than are made in a stop, each with two events. */
  const createStallingRuns = () =>
    Array.from({length: LEFT_MILLISECONDS / REVIEW_MILLISECONDS}, (_, index) =>
      stallAfter(2 * index + 1, 2 * index + 2),
    );

  /** Plays a stop that begins as the stream has events. */
  async function play(
    scripts: AttemptScript[],
    atHalf: () => void = () => {},
  ): Promise<{connector: ScriptedConnector; ids: number[]; end?: AnswerEnd}> {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      decision => decisions.push(decision),
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {tryConsumeRetry: () => (retries -= 1) >= 0},
    );
    const request = createRequest(RequestKind.STREAM, true);
    const reading = readAnswer(
      await dispatcher.dispatch({
        ...request,
        deadlineAtMilliseconds: performance.now() + 2 * LEFT_MILLISECONDS,
      }),
    );
    await clock.tickAsync(EVENT_MILLISECONDS);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    for (let at = 0; at < LEFT_MILLISECONDS; at += REVIEW_MILLISECONDS) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
      if (at === SECOND) atHalf();
    }
    dispatcher.giveUp();
    const {text, end} = await reading;
    return {connector, ids: eventIdsIn(text), end};
  }

  it('is handed over again by the pace of its upstream, not by the stall before', async () => {
    const scripts = [stallAfter(1), stallAfter(2, 3), endWith(4, 5)];
    const {ids, end} = await play(scripts);
    expect(ids).to.eql([1, 2, 3, 4, 5]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    const last = decisions.findLast(({step}) => step === DecisionStep.HANDOVER);
    expect(last?.stalledMilliseconds).to.be.below(SECOND);
  });

  it('goes on at the one before', async () => {
    const {connector, ids, end} = await play([
      stallAfter(1, 2),
      stallAfter(3, 4),
      endWith(5, 6),
    ]);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(connector.resumedAfterIds).to.eql([undefined, 2, 4]);
    expect(ids).to.eql([1, 2, 3, 4, 5, 6]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(upstreams.map(({ownInFlight}) => ownInFlight)).to.eql([0, 0]);
  });

  it('goes on at the one before although that counts as full', async () => {
    const {connector, ids, end} = await play(
      [stallAfter(1, 2), stallAfter(3, 4), endWith(5, 6)],
      () => {
        upstreams[0].ownInFlight += 100;
      },
    );
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(ids).to.eql([1, 2, 3, 4, 5, 6]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('keeps its place there until the one before goes on', async () => {
    const goingOn: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 3\ndata: x\n\n');
          await delay(EVENT_MILLISECONDS);
          yield Buffer.from('id: 4\ndata: x\n\n');
          await delay(1.2 * SECOND);
          yield Buffer.from('id: 5\ndata: x\n\n');
        })(),
      });
    const {connector, ids, end} = await play([
      stallAfter(1, 2),
      goingOn,
      stallAfter(),
    ]);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(ids).to.eql([1, 2, 3, 4, 5]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('goes on after it has stalled in four runs, as time is left', async () => {
    const {connector, ids, end} = await play([
      stallAfter(1, 2),
      stallAfter(3, 4),
      stallAfter(5, 6),
      stallAfter(7, 8),
      endWith(9, 10),
    ]);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one', 'two', 'one']);
    expect(ids).to.eql([1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('goes on at the one before if the last one breaks off', async () => {
    const {connector, ids, end} = await play([
      stallAfter(1, 2),
      () => respondWithEvents([3, 4], false),
      endWith(5, 6),
    ]);
    expect(connector.upstreamIds).to.eql(['one', 'two', 'one']);
    expect(ids).to.eql([1, 2, 3, 4, 5, 6]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(upstreams.map(({ownInFlight}) => ownInFlight)).to.eql([0, 0]);
  });

  it('goes on at another one though it ran twice at the first', async () => {
    const [one, two] = upstreams;
    upstreams.pop();
    const {connector, ids, end} = await play([
      stallAfter(1, 2),
      () => {
        upstreams.push(two);
        return respondWithEvents([3, 4], false);
      },
      endWith(5, 6),
    ]);
    expect(connector.upstreamIds).to.eql([one.id, one.id, two.id]);
    expect(ids).to.eql([1, 2, 3, 4, 5, 6]);
    expect(end).to.equal(AnswerEnd.WHOLE);
  });

  it('does not go back if the last one breaks off at the end', async () => {
    const breakAtEnd: AttemptScript = () =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          for (let id = 3; id <= 71; id += 1) {
            yield Buffer.from(`id: ${id}\ndata: x\n\n`);
            await delay(LEFT_MILLISECONDS / 75);
          }
          throw connectionLostError();
        })(),
      });
    const {connector, end} = await play([stallAfter(1, 2), breakAtEnd]);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(end).to.equal(AnswerEnd.BROKEN);
  });

  it('does not go back if the last one breaks off before the stop', async () => {
    const {connector, ids, end} = await play([
      () => respondWithEvents([1, 2], false),
      () => respondWithEvents([3, 4], false),
    ]);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(ids).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.BROKEN);
  });

  it('does not go back to one that is leaving', async () => {
    const {connector, ids} = await play(
      [stallAfter(1, 2), stallAfter(3, 4)],
      () => {
        const [{description}] = upstreams;
        upstreams[0].updateDescription({
          ...description,
          state: UpstreamState.LEAVING,
        });
      },
    );
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(ids).to.eql([1, 2, 3, 4]);
    expect(decisions.at(-1)).to.include({
      stayReason: StayReason.NO_UPSTREAM,
    });
  });

  it('does not go back without a retry', async () => {
    retries = 1;
    const {connector, ids} = await play([stallAfter(1, 2), stallAfter(3, 4)]);
    expect(connector.upstreamIds).to.eql(['one', 'two']);
    expect(ids).to.eql([1, 2, 3, 4]);
    expect(decisions.at(-1)).to.deep.include({
      stayReason: StayReason.NO_RETRY_LEFT,
      triedUpstreams: ['one', 'two'],
    });
  });

  it('reaches no more upstreams than its route allows', async () => {
    upstreams.push(testUpstream('three', ['m']));
    const {connector} = await play(createStallingRuns());
    expect(new Set(connector.upstreamIds).size).to.equal(2);
    expect(connector.upstreamIds.length).to.be.greaterThan(4);
  });

  it('waits for another stall if all upstreams refuse it at once', async () => {
    const refuse: AttemptScript = () =>
      respondWith({status: 503, isNotRun: true});
    const runs = createStallingRuns();
    await play([runs[0], ...runs.map(() => refuse)]);
    const times = decisions
      .filter(({step}) => step === DecisionStep.HANDOVER)
      .map(({leftMilliseconds = 0}) => leftMilliseconds);
    expect(times.length).to.be.greaterThan(3);
    for (const [index, left] of times.slice(1).entries())
      expect(times[index] - left).to.be.at.least(SHORTEST_STALL_MILLISECONDS);
  });

  it('is handed over only after a stall, however often', async () => {
    const {connector} = await play(createStallingRuns());
    const handovers = decisions.filter(
      ({step}) => step === DecisionStep.HANDOVER,
    );
    expect(handovers).to.have.lengthOf(connector.upstreamIds.length - 1);
    for (const {stalledMilliseconds = 0, leftMilliseconds = 0} of handovers) {
      expect(leftMilliseconds).to.be.at.least(SHORTEST_LEFT_MILLISECONDS);
      expect(stalledMilliseconds).to.be.at.least(SHORTEST_STALL_MILLISECONDS);
    }
  });
});
