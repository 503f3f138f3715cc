/**
 * Guards against a node that stops and tells callers that their requests may have
 * run although they were never sent, or leaves the work on them running.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {AttemptScript} from './scripted_connector.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
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
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

const WAIT_MILLISECONDS = 100;
const RELAYED = {
  attempts: 1,
  mayHaveRun: false,
  origin: undefined,
  resumeAfterEventId: undefined,
};

describe('requests that a node gives up as it stops', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let decisions: RequestDecision[];

  beforeEach(() => {
    clock = install();
    decisions = [];
    upstreams = [testUpstream('one', ['m'])];
  });
  afterEach(() => clock.uninstall());

  function createTestDispatcher(...scripts: AttemptScript[]) {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      decision => decisions.push(decision),
    );
    return {connector, dispatcher};
  }

  it('says of a request in the queue that it was not run', async () => {
    const [{description}] = upstreams;
    upstreams[0].ownInFlight = description.slots;
    const {connector, dispatcher} = createTestDispatcher();
    const answer = dispatcher.dispatch(createRequest(RequestKind.STREAM));
    await clock.tickAsync(WAIT_MILLISECONDS);
    dispatcher.giveUp();
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(connector.upstreamIds).to.eql([]);
  });

  it('says of a request that was sent that it may have run', async () => {
    const {dispatcher} = createTestDispatcher(neverRespond);
    const answer = dispatcher.dispatch(createRequest(RequestKind.STREAM));
    await clock.tickAsync(WAIT_MILLISECONDS);
    dispatcher.giveUp();
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.UPSTREAM_TIMED_OUT,
    );
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
    expect(upstreams[0].ownInFlight).to.equal(0);
  });

  it('tells the peer that has passed a request on that this node stops', async () => {
    const {dispatcher} = createTestDispatcher(neverRespond);
    const request = createRequest(RequestKind.IDEMPOTENT);
    const answer = dispatcher.dispatch(request, RELAYED);
    await clock.tickAsync(WAIT_MILLISECONDS);
    dispatcher.giveUp();
    const result = await answer;
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(result.err && result.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
  });

  it('breaks off a stream that has begun, and resumes it nowhere', async () => {
    upstreams.push(testUpstream('two', ['m']));
    const {connector, dispatcher} = createTestDispatcher(
      (_upstream, {cancellation}) =>
        respondWith({
          isEventStream: true,
          body: (async function* () {
            yield Buffer.from('id: 1\ndata: x\n\n');
            await new Promise(resolve => cancellation.onCancel(resolve));
            throw connectionLostError();
          })(),
        }),
    );
    const request = createRequest(RequestKind.STREAM, true);
    const reading = readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(WAIT_MILLISECONDS);
    dispatcher.giveUp();
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1]);
    expect(end).to.equal(AnswerEnd.BROKEN);
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('logs where a stream that is cut was stalled, and since when', async () => {
    upstreams.push(testUpstream('two', ['m']));
    const breakOff: AttemptScript = () => respondWithEvents([1], false);
    const stall: AttemptScript = (_upstream, {cancellation}) =>
      respondWith({
        isEventStream: true,
        body: (async function* () {
          yield Buffer.from('id: 2\ndata: x\n\n');
          await new Promise(resolve => cancellation.onCancel(resolve));
          throw connectionLostError();
        })(),
      });
    const {connector, dispatcher} = createTestDispatcher(breakOff, stall);
    const request = createRequest(RequestKind.STREAM, true);
    const reading = readAnswer(await dispatcher.dispatch(request));
    await clock.tickAsync(WAIT_MILLISECONDS);
    dispatcher.giveUp();
    await reading;
    expect(decisions.at(-1)).to.include({
      end: AnswerEnd.BROKEN,
      upstream: connector.upstreamIds.at(-1),
      attempts: 2,
      eventCount: 2,
      sinceLastEventMilliseconds: WAIT_MILLISECONDS,
      priority: 1,
    });
  });

  it('sends none that come after that', async () => {
    const {connector, dispatcher} = createTestDispatcher();
    dispatcher.giveUp();
    const request = createRequest(RequestKind.IDEMPOTENT);
    const result = await dispatcher.dispatch(request);
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(connector.upstreamIds).to.eql([]);
  });
});
