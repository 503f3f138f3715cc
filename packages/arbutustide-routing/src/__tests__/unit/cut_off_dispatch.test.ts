// Guards against requests that wait for upstreams which only other nodes reach,
// that run twice on their way there, and against refusals that are not true.
import type {RelayPeer, RequestRelay} from '../../proxy/relay/request_relay.js';
import type {AttemptTarget} from '../../proxy/attempt_target.js';
import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import {
  Cancellation,
  ErrorKind,
  ExecutionStatus,
  RefusalError,
} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../../caller_request.js';
import {ENDLESS_ANSWER_PERIOD} from '../../proxy/answer_period.js';
import {InactivityTimeout} from '../../proxy/inactivity_timeout.js';
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

type RelayAnswer = Awaited<ReturnType<RequestRelay['sendRequest']>>;

const STOP_MILLISECONDS = 4_000;
const PEERS: readonly RelayPeer[] = ['one', 'two', 'three'].map(name => ({
  name,
  identity: name,
  peerUrl: name,
}));

/** An upstream's answer as a peer passes it back. */
function relayed(answer: ReturnType<typeof respondWith>): RelayAnswer {
  const origin = {service: 'service', softwareVersion: 'v1'};
  return Ok({...answer.unwrap(), upstreamId: 'far', origin, attempts: 1});
}

function refused(kind: ErrorKind, ran: ExecutionStatus): RelayAnswer {
  const refusal = new RefusalError(kind, 'refused', {
    ran,
    retryAfterMilliseconds: 400,
  });
  const failure =
    ran === ExecutionStatus.NOT_EXECUTED
      ? AttemptFailure.NOT_CONNECTED
      : AttemptFailure.CONNECTION_LOST;
  return Err({error: new AttemptError(failure, 'refused'), refusal});
}

const broken = () => Err({error: connectionLostError(), refusal: undefined});

describe('dispatch on a node that is cut off from upstreams', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let answers: RelayAnswer[];
  let askedPeers: string[];
  let resumedAfterIds: (number | undefined)[];
  let peers: readonly RelayPeer[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('a', ['m']), testUpstream('b', ['m'])];
    answers = [];
    askedPeers = [];
    resumedAfterIds = [];
    peers = PEERS;
  });
  afterEach(() => clock.uninstall());

  const relay: RequestRelay = {
    choosePeer: ({triedPeers}) =>
      peers.find(({identity}) => !triedPeers.has(identity)),
    sendRequest: async (peer, _request, {resumeAfterEventId}) => {
      askedPeers.push(peer.name);
      resumedAfterIds.push(resumeAfterEventId);
      return answers.shift() ?? broken();
    },
    recordNoPath: () => {},
  };

  function cutOff(): void {
    for (const {reachability} of upstreams) reachability.presumeLost();
  }

  function dispatch(
    kind: RequestKind,
    connector = new ScriptedConnector([]),
    isResumable = true,
    answerPeriod = ENDLESS_ANSWER_PERIOD,
  ) {
    const list = () => upstreams;
    return createDispatcher(
      connector,
      list,
      () => {},
      undefined,
      relay,
      undefined,
      answerPeriod,
    ).dispatch(createRequest(kind, isResumable));
  }

  it('gets a whole answer from a peer, at once', async () => {
    cutOff();
    answers = [relayed(respondWith({}, ['whole']))];
    const answer = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect((await readAnswer(answer)).text).to.equal('whole');
    expect(askedPeers).to.deep.equal(['one']);
  });

  it('asks another peer if one has no path either, or stops', async () => {
    cutOff();
    const {NOT_EXECUTED} = ExecutionStatus;
    answers = [
      refused(ErrorKind.UPSTREAM_UNREACHABLE, NOT_EXECUTED),
      refused(ErrorKind.NOT_READY, NOT_EXECUTED),
      relayed(respondWith({}, ['whole'])),
    ];
    const answer = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect(answer.ok).to.equal(true);
    expect(askedPeers).to.deep.equal(['one', 'two', 'three']);
  });

  // Guards against requests that are refused because one peer cannot show that
  // it knows of revocations, although another one can.
  it('asks another peer if one cannot judge its key', async () => {
    cutOff();
    const {NOT_EXECUTED} = ExecutionStatus;
    answers = [
      refused(ErrorKind.CONFIGURATION_UNCONFIRMED, NOT_EXECUTED),
      relayed(respondWith({}, ['whole'])),
    ];
    const answer = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect(answer.ok).to.equal(true);
    expect(askedPeers).to.deep.equal(['one', 'two']);
  });

  describe('that stops', () => {
    /** Ids of the events of a stream that breaks off after the second one. */
    async function readBroken(connector?: ScriptedConnector) {
      const answerPeriod = {endsAtMilliseconds: STOP_MILLISECONDS};
      const answer = await dispatch(
        RequestKind.STREAM,
        connector,
        true,
        answerPeriod,
      );
      const reading = readAnswer(answer);
      await clock.tickAsync(STOP_MILLISECONDS / 2);
      return eventIdsIn((await reading).text);
    }

    it('resumes a stream at another peer at once', async () => {
      cutOff();
      answers = [
        relayed(respondWithEvents([1, 2], false)),
        relayed(respondWithEvents([3, 4], true)),
      ];
      expect(await readBroken()).to.eql([1, 2, 3, 4]);
      expect(askedPeers).to.eql(['one', 'two']);
    });

    it('resumes a stream at a peer if its own path is lost', async () => {
      upstreams.pop();
      const connector = new ScriptedConnector([
        () => respondWithEvents([1, 2], false),
        () => {
          cutOff();
          return Err(new AttemptError(AttemptFailure.NOT_CONNECTED, 'lost'));
        },
      ]);
      answers = [relayed(respondWithEvents([3, 4], true))];
      expect(await readBroken(connector)).to.eql([1, 2, 3, 4]);
      expect(askedPeers).to.eql(['one']);
    });
  });

  it('passes on the refusal of a peer that has no slot in time', async () => {
    cutOff();
    const {NOT_EXECUTED} = ExecutionStatus;
    answers = [refused(ErrorKind.DEADLINE_UNREACHABLE, NOT_EXECUTED)];
    const answer = await dispatch(RequestKind.IDEMPOTENT);
    expect(answer.err && answer.val.ran).to.equal(NOT_EXECUTED);
    expect(answer.err && answer.val.retryAfterMilliseconds).to.equal(400);
    expect(askedPeers).to.deep.equal(['one']);
  });

  it('sends what may run once to no second peer after a hop broke', async () => {
    cutOff();
    answers = [broken()];
    const answer = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect(answer.err && answer.val.ran).to.equal(
      ExecutionStatus.POSSIBLY_EXECUTED,
    );
    expect(askedPeers).to.deep.equal(['one']);
  });

  it('sends what may be repeated to a second peer, within its attempts', async () => {
    cutOff();
    answers = [broken(), relayed(respondWith({}, ['whole']))];
    expect((await dispatch(RequestKind.IDEMPOTENT)).ok).to.equal(true);
    answers = [broken(), broken(), relayed(respondWith({}, ['whole']))];
    askedPeers = [];
    expect((await dispatch(RequestKind.IDEMPOTENT)).err).to.equal(true);
    expect(askedPeers).to.deep.equal(['one', 'two']);
  });

  it('sends only what may be repeated elsewhere if a peer stops under it', async () => {
    cutOff();
    const {POSSIBLY_EXECUTED} = ExecutionStatus;
    const stopping = refused(ErrorKind.NOT_READY, POSSIBLY_EXECUTED);
    answers = [stopping, relayed(respondWith({}, ['whole']))];
    const repeated = await dispatch(RequestKind.IDEMPOTENT);
    expect(repeated.ok).to.equal(true);
    expect(askedPeers).to.deep.equal(['one', 'two']);
    answers = [stopping];
    const once = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect(once.err && once.val.ran).to.equal(POSSIBLY_EXECUTED);
    expect(askedPeers).to.have.length(3);
  });

  it('refuses at once, as not run, if no peer has a path', async () => {
    cutOff();
    peers = [];
    const answer = await dispatch(RequestKind.NON_IDEMPOTENT);
    expect(answer.err && answer.val.kind).to.equal(
      ErrorKind.UPSTREAM_UNREACHABLE,
    );
    expect(answer.err && answer.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(answer.err && answer.val.retryAfterMilliseconds).to.be.greaterThan(
      0,
    );
  });

  it('says of no request that it has not run if an upstream may have run it', async () => {
    const connector = new ScriptedConnector([
      () => {
        cutOff();
        return Err(connectionLostError());
      },
    ]);
    const {NOT_EXECUTED, POSSIBLY_EXECUTED} = ExecutionStatus;
    answers = [refused(ErrorKind.REQUEST_QUARANTINED, NOT_EXECUTED)];
    upstreams = upstreams.slice(0, 1);
    const answer = await dispatch(RequestKind.IDEMPOTENT, connector);
    expect(askedPeers).to.deep.equal(['one']);
    expect(answer.err && answer.val.ran).to.equal(POSSIBLY_EXECUTED);
  });

  it('is not told to be cut off by a peer whose upstreams turn it away', async () => {
    const turnAway = () => respondWith({status: 503, isNotRun: true});
    const connector = new ScriptedConnector([turnAway, turnAway]);
    const answer = await dispatch(RequestKind.IDEMPOTENT, connector);
    expect(answer.err && answer.val.kind).to.equal(
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(answer.err && answer.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
  });

  it('resumes a stream through a peer after its last event', async () => {
    const connector = new ScriptedConnector([
      () => respondWithEvents([1, 2], false),
    ]);
    answers = [relayed(respondWithEvents([3, 4], true))];
    const answer = await dispatch(RequestKind.STREAM, connector);
    cutOff();
    const {text, end} = await readAnswer(answer);
    expect(eventIdsIn(text)).to.deep.equal([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(resumedAfterIds).to.deep.equal([2]);
  });

  it('ends a stream as broken that breaks at the peer and cannot go on', async () => {
    cutOff();
    answers = [relayed(respondWithEvents([1], false))];
    const answer = await dispatch(
      RequestKind.STREAM,
      new ScriptedConnector([]),
      false,
    );
    expect((await readAnswer(answer)).end).to.equal(AnswerEnd.BROKEN);
  });

  it('moves what may be repeated when its upstream is lost under it', async () => {
    const connector = new ScriptedConnector([neverRespond]);
    answers = [relayed(respondWith({}, ['whole']))];
    const answer = dispatch(RequestKind.IDEMPOTENT, connector);
    await clock.tickAsync(100);
    cutOff();
    await clock.tickAsync(10);
    expect((await readAnswer(await answer)).text).to.equal('whole');
  });

  it('lets what may run once wait for its answer', async () => {
    const connector = new ScriptedConnector([neverRespond]);
    const answer = dispatch(RequestKind.NON_IDEMPOTENT, connector);
    await clock.tickAsync(100);
    cutOff();
    await clock.tickAsync(10_000);
    expect((await answer).err).to.equal(true);
    expect(askedPeers).to.deep.equal([]);
  });

  it('keeps nothing of an attempt whose caller has already left', () => {
    let listeners = 0;
    const target = {
      onLost: () => {
        listeners += 1;
        return () => (listeners -= 1);
      },
    };
    const cancellation = new Cancellation();
    cancellation.cancel('gone');
    const progress = {request: createRequest(RequestKind.STREAM), cancellation};
    new InactivityTimeout(
      progress as RoutedRequestProgress,
      target as unknown as AttemptTarget,
      () => true,
    );
    expect(listeners).to.equal(0);
  });
});
