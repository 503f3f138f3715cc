/**
 * Guards against requests that use up the upstreams of their route at ones that
 * no longer hold their model.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

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
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

const LEFT_MILLISECONDS = 7_000;
const REVIEW_MILLISECONDS = 50;

describe('attempt at an upstream that does not hold the model', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];
  let answerPeriod: {endsAtMilliseconds: number};

  beforeEach(() => {
    clock = install();
    upstreams = ['one', 'two', 'three'].map(id => testUpstream(id, ['m']));
    answerPeriod = {endsAtMilliseconds: Infinity};
  });
  afterEach(() => clock.uninstall());

  const misdirect: AttemptScript = () =>
    respondWith({
      status: 421,
      isNotRun: true,
      isOtherInstance: true,
      isSigned: false,
    });
  const refuse: AttemptScript = () =>
    respondWith({status: 503, isNotRun: true, isSigned: false});
  const stall: AttemptScript = (_upstream, {cancellation}) =>
    respondWith({
      isEventStream: true,
      body: (async function* () {
        yield Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
        await new Promise((_resolve, reject) =>
          cancellation.onCancel(() => reject(connectionLostError())),
        );
      })(),
    });
  const answer: AttemptScript = () => respondWithEvents([1, 2], true);
  const goOn: AttemptScript = () => respondWithEvents([3, 4], true);

  function create(scripts: AttemptScript[], tryConsumeRetry = () => true) {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      undefined,
      undefined,
      undefined,
      answerPeriod,
      {tryConsumeRetry},
    );
    return {connector, dispatcher};
  }

  it('leaves a request that must run once the upstream it may reach', async () => {
    const {connector, dispatcher} = create([misdirect, answer]);
    const request = createRequest(RequestKind.STREAM);
    const route = {...request.route, maximumAttempts: 1};
    const answered = await dispatcher.dispatch({...request, route});
    expect((await readAnswer(answered)).end).to.equal(AnswerEnd.WHOLE);
    expect(connector.upstreamIds).to.have.length(2);
  });

  it('needs a retry of the budget', async () => {
    const {connector, dispatcher} = create([misdirect], () => false);
    const answered = await dispatcher.dispatch(
      createRequest(RequestKind.STREAM),
    );
    expect(answered.ok).to.equal(false);
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('is not the same as a refusal for lack of room', async () => {
    const {connector, dispatcher} = create([refuse, answer]);
    const request = createRequest(RequestKind.STREAM);
    const route = {...request.route, maximumAttempts: 1};
    const answered = await dispatcher.dispatch({...request, route});
    expect(answered.ok).to.equal(false);
    expect(connector.upstreamIds).to.have.length(1);
  });

  it('leaves a stream of a stopping node one more to go on at', async () => {
    const {connector, dispatcher} = create([stall, misdirect, goOn]);
    const request = createRequest(RequestKind.STREAM, true);
    const route = {...request.route, maximumAttempts: 2};
    const reading = readAnswer(await dispatcher.dispatch({...request, route}));
    await clock.tickAsync(0);
    answerPeriod.endsAtMilliseconds = performance.now() + LEFT_MILLISECONDS;
    for (let at = 0; at < LEFT_MILLISECONDS; at += REVIEW_MILLISECONDS) {
      dispatcher.handOverStalledStreams();
      await clock.tickAsync(REVIEW_MILLISECONDS);
    }
    const {text, end} = await reading;
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(new Set(connector.upstreamIds).size).to.equal(3);
  });
});
