import type {
  AttemptTerms,
  FleetConnector,
  UpstreamHead,
} from '../../fleet/fleet_connector.js';
import type {RequestDecision} from '../../fleet/fleet_decision.js';
import type {FleetUpstream} from '../../fleet/fleet_upstream.js';
import type {RoutedRequest} from '../../fleet/routed_request.js';
import type {Result} from 'ts-results';

import {Cancellation, ErrorKind, Ran} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../../caller_request.js';
import {DemandCounter} from '../../fleet/demand_counter.js';
import {chooseUpstream, NoChoice} from '../../fleet/fleet_choice.js';
import {DecisionStep} from '../../fleet/fleet_decision.js';
import {FleetDispatcher} from '../../fleet/fleet_dispatcher.js';
import {PlaceQueue} from '../../fleet/place_queue.js';
import {RequestKind} from '../../fleet/route.js';
import {RequestSuspects} from '../../request_suspects.js';
import {
  testModelRequest,
  testRequest,
  testRoute,
  testUpstream,
} from './fleet_world.js';

type Attempt = Result<UpstreamHead, AttemptError>;
type Script = (
  upstream: FleetUpstream,
  terms: AttemptTerms,
) => Attempt | Promise<Attempt>;

function head(changes: Partial<UpstreamHead>, body: readonly string[] = []) {
  const whole: UpstreamHead = {
    status: 200,
    headers: [],
    isNotRun: false,
    isOtherInstance: false,
    isSigned: true,
    isEventStream: false,
    load: undefined,
    body: (async function* () {
      for (const piece of body) yield Buffer.from(piece);
    })(),
    ...changes,
  };
  return Ok(whole);
}

function broken(): AttemptError {
  return new AttemptError(AttemptFailure.CLOSED, 'the connection broke');
}

/** An event stream that breaks after the given events, unless it is whole. */
function stream(ids: readonly number[], isWhole: boolean) {
  const body = (async function* () {
    for (const id of ids) yield Buffer.from(`id: ${id}\ndata: x\n\n`);
    if (!isWhole) throw broken();
  })();
  return head({isEventStream: true, body});
}

/** Plays one attempt after another as scripted. */
class ScriptedConnector implements FleetConnector {
  readonly sent: string[] = [];
  readonly resumedAfter: (number | undefined)[] = [];

  constructor(private readonly scripts: Script[]) {}

  async open(
    upstream: FleetUpstream,
    _request: RoutedRequest,
    terms: AttemptTerms,
  ): Promise<Attempt> {
    this.sent.push(upstream.id);
    this.resumedAfter.push(terms.resumeAfter);
    const script = this.scripts.shift();
    if (!script) throw new Error('no attempt was expected');
    return script(upstream, terms);
  }
}

describe('dispatch of routed requests', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: FleetUpstream[];
  let decisions: RequestDecision[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
    decisions = [];
  });
  afterEach(() => clock.uninstall());

  function dispatcherOf(connector: FleetConnector): FleetDispatcher {
    const settings = {
      ownFailureDomain: 'near',
      crossDomainShare: 0.1,
      fullShare: 1,
      random: () => 0,
    };
    const queue = new PlaceQueue({
      choose: ({request, tried}) =>
        chooseUpstream(upstreams, request.modelRequest, tried, settings),
      predictWait: (_progress, reason) =>
        reason === NoChoice.FULL ? 10 : undefined,
      serviceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
    });
    return new FleetDispatcher(queue, connector, {
      recordRequest: () => {},
      tryTakeRetry: () => true,
      onMissing: (upstream, model) => upstream.learnHolding(model, false),
      onDecision: decision => decisions.push(decision),
      suspects: new RequestSuspects(
        10_000,
        {crashes: () => 0, runsOthers: () => false},
        3,
      ),
    });
  }

  async function play(request: RoutedRequest, ...scripts: Script[]) {
    const connector = new ScriptedConnector(scripts);
    const result = await dispatcherOf(connector).dispatch(request);
    return {result, connector};
  }

  function requestOf(kind: RequestKind, isResumable = false): RoutedRequest {
    return testRequest({
      route: testRoute({kind, isResumable}),
      modelRequest: testModelRequest('m'),
    });
  }

  const notRun: Script = () => head({status: 503, isNotRun: true});
  const lost: Script = () => Err(broken());
  const whole: Script = () => head({}, ['who', 'le']);

  it('passes a whole answer on', async () => {
    const {result} = await play(requestOf(RequestKind.IDEMPOTENT), whole);
    const {status, body} = result.unwrap();
    expect(status).to.equal(200);
    expect(String(body)).to.equal('whole');
    expect(upstreams.every(({ownInFlight}) => ownInFlight === 0)).to.equal(
      true,
    );
  });

  it('sends what was not run to another upstream', async () => {
    const {result, connector} = await play(
      requestOf(RequestKind.NON_IDEMPOTENT),
      notRun,
      whole,
    );
    expect(result.ok).to.equal(true);
    expect(new Set(connector.sent).size).to.equal(2);
  });

  it('never repeats what may have run once, and says so', async () => {
    const {result, connector} = await play(
      requestOf(RequestKind.NON_IDEMPOTENT),
      lost,
    );
    expect(connector.sent).to.have.length(1);
    expect(result.err && result.val.kind).to.equal(ErrorKind.UPSTREAM_BROKEN);
    expect(result.err && result.val.ran).to.equal(Ran.MAYBE);
  });

  it('does not call not run what another upstream may have run', async () => {
    const {result} = await play(
      requestOf(RequestKind.IDEMPOTENT),
      lost,
      notRun,
    );
    expect(result.err && result.val.ran).to.equal(Ran.MAYBE);
  });

  it("passes the upstream's own failure on when no try is left", async () => {
    const failed: Script = () => head({status: 500}, ['broke']);
    const {result, connector} = await play(
      requestOf(RequestKind.IDEMPOTENT),
      failed,
      failed,
    );
    expect(connector.sent).to.have.length(2);
    expect(result.unwrap().status).to.equal(500);
  });

  it('refuses at once what no upstream will hold', async () => {
    const request = testRequest({modelRequest: testModelRequest('unknown')});
    const {result, connector} = await play(request);
    expect(connector.sent).to.have.length(0);
    expect(result.err && result.val.kind).to.equal(ErrorKind.NO_REPLICA);
    expect(result.err && result.val.ran).to.equal(Ran.NO);
    expect(result.err && result.val.retryAfterMilliseconds).to.be.greaterThan(
      0,
    );
  });

  it('answers at the deadline while the upstream is silent', async () => {
    const silent: Script = (_upstream, {cancel}) =>
      new Promise(resolve => {
        cancel.onCancel(reason =>
          resolve(
            Err(new AttemptError(AttemptFailure.CANCELLED, String(reason))),
          ),
        );
      });
    const playing = play(requestOf(RequestKind.IDEMPOTENT), silent);
    await clock.tickAsync(5_000);
    const {result} = await playing;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.UPSTREAM_TIMED_OUT,
    );
  });

  it('ends the work of a caller that leaves', async () => {
    const presence = new Cancellation();
    let wasCancelled = false;
    const silent: Script = (_upstream, {cancel}) =>
      new Promise(resolve => {
        cancel.onCancel(() => {
          wasCancelled = true;
          resolve(Err(new AttemptError(AttemptFailure.CANCELLED, 'gone')));
        });
      });
    const request = {...requestOf(RequestKind.IDEMPOTENT), presence};
    const playing = play(request, silent);
    await clock.tickAsync(100);
    presence.cancel('gone');
    const {result} = await playing;
    expect(wasCancelled).to.equal(true);
    expect(result.err && result.val.kind).to.equal(ErrorKind.CALLER_GONE);
  });

  async function read(result: Awaited<ReturnType<typeof play>>['result']) {
    const {body} = result.unwrap();
    let text = '';
    if (Buffer.isBuffer(body)) return {text: String(body), end: undefined};
    for (;;) {
      const piece = await body.next();
      if (piece.done) return {text, end: piece.value};
      text += Buffer.from(piece.value).toString();
    }
  }

  function idsOf(text: string): number[] {
    return [...text.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
  }

  it('goes on with a stream at another upstream after its last event', async () => {
    const {result, connector} = await play(
      requestOf(RequestKind.STREAM, true),
      () => stream([1, 2], false),
      () => stream([2, 3, 4], true),
    );
    const {text, end} = await read(result);
    expect(idsOf(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(connector.resumedAfter).to.eql([undefined, 2]);
    expect(decisions.map(({step}) => step)).to.include(
      DecisionStep.STREAM_RESUMED,
    );
  });

  it('breaks a stream off that must not be resumed', async () => {
    const {result, connector} = await play(
      requestOf(RequestKind.STREAM, false),
      () => stream([1, 2], false),
    );
    const {text, end} = await read(result);
    expect(idsOf(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.BROKEN);
    expect(connector.sent).to.have.length(1);
  });

  it('does not pass a gap between two upstreams on', async () => {
    const {result} = await play(
      requestOf(RequestKind.STREAM, true),
      () => stream([1, 2], false),
      () => stream([4, 5], true),
    );
    const {text, end} = await read(result);
    expect(idsOf(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.BROKEN);
  });

  it('sends a request no more whose connections broke three times', async () => {
    const connector = new ScriptedConnector([lost, lost, lost]);
    const dispatcher = dispatcherOf(connector);
    const once = () =>
      dispatcher.dispatch(requestOf(RequestKind.NON_IDEMPOTENT));
    for (let crash = 0; crash < 3; crash += 1) {
      await once();
      await clock.tickAsync(2_000);
    }
    const result = await once();
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.REQUEST_QUARANTINED,
    );
    expect(connector.sent).to.have.length(3);
  });

  it('serves those who wait by priority as places come free', async () => {
    upstreams = [testUpstream('one', ['m'], {slots: 1})];
    const order: string[] = [];
    const releases: (() => void)[] = [];
    const held: Script = () =>
      new Promise(resolve => releases.push(() => resolve(head({}, ['ok']))));
    const connector = new ScriptedConnector([held, held, held]);
    const dispatcher = dispatcherOf(connector);
    const send = async (name: string, priority: number) => {
      const route = testRoute({priority});
      const request = testRequest({
        route,
        requestId: name,
        modelRequest: testModelRequest('m'),
      });
      await dispatcher.dispatch(request);
      order.push(name);
    };
    const all = [send('first', 2), send('late', 2), send('urgent', 0)];
    for (let turn = 0; turn < 3; turn += 1) {
      await clock.tickAsync(10);
      releases.shift()?.();
      await clock.tickAsync(10);
    }
    await Promise.all(all);
    expect(order).to.eql(['first', 'urgent', 'late']);
  });
});
