import type {
  AttemptTerms,
  FleetConnector,
  UpstreamHead,
} from '../../fleet/fleet_connector.js';
import type {RequestDecision} from '../../fleet/fleet_decision.js';
import type {FleetAnswer} from '../../fleet/fleet_answer.js';
import type {FleetUpstream} from '../../fleet/fleet_upstream.js';
import type {RoutedRequest} from '../../fleet/routed_request.js';
import type {Result} from 'ts-results';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {DemandCounter} from '../../fleet/demand_counter.js';
import {chooseUpstream, NoChoice} from '../../fleet/fleet_choice.js';
import {FleetDispatcher} from '../../fleet/fleet_dispatcher.js';
import {PlaceQueue} from '../../fleet/place_queue.js';
import type {RequestKind} from '../../fleet/route.js';
import {RequestSuspects} from '../../request_suspects.js';
import {testModelRequest, testRequest, testRoute} from './proxy_fixtures.js';

type ScriptedOutcome = Result<UpstreamHead, AttemptError>;
/** What an upstream does with one attempt. */
export type AttemptScript = (
  upstream: FleetUpstream,
  terms: AttemptTerms,
) => ScriptedOutcome | Promise<ScriptedOutcome>;

/** The head of an answer, with a body. */
export function respondWith(
  changes: Partial<UpstreamHead>,
  body: readonly string[] = [],
) {
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

/** A connection that broke. */
export function connectionLostError(): AttemptError {
  return new AttemptError(AttemptFailure.CLOSED, 'the connection broke');
}

/** An event stream that breaks after the given events, unless it is whole. */
export function respondWithEvents(ids: readonly number[], isWhole: boolean) {
  const body = (async function* () {
    for (const id of ids) yield Buffer.from(`id: ${id}\ndata: x\n\n`);
    if (!isWhole) throw connectionLostError();
  })();
  return respondWith({isEventStream: true, body});
}

/** Plays one attempt after another as scripted. */
export class ScriptedConnector implements FleetConnector {
  readonly upstreamIds: string[] = [];
  readonly resumedAfterIds: (number | undefined)[] = [];

  constructor(private readonly scripts: AttemptScript[]) {}

  forget(): void {}

  async open(
    upstream: FleetUpstream,
    _request: RoutedRequest,
    terms: AttemptTerms,
  ): Promise<ScriptedOutcome> {
    this.upstreamIds.push(upstream.id);
    this.resumedAfterIds.push(terms.resumeAfter);
    const script = this.scripts.shift();
    if (!script) throw new Error('no attempt was expected');
    return script(upstream, terms);
  }
}

/** A dispatcher before the given upstreams. */
export function createDispatcher(
  connector: FleetConnector,
  upstreams: () => readonly FleetUpstream[],
  onDecision: (decision: RequestDecision) => void,
): FleetDispatcher {
  const settings = {
    ownFailureDomain: 'near',
    crossDomainShare: 0.1,
    fullShare: 1,
    random: () => 0,
  };
  const queue = new PlaceQueue({
    choose: ({request, tried}) =>
      chooseUpstream(upstreams(), request.modelRequest, tried, settings),
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
    onDecision,
    suspects: new RequestSuspects(
      10_000,
      {crashes: () => 0, runsOthers: () => false},
      3,
    ),
  });
}

/** A request for a model that the upstreams hold. */
export function createRequest(
  kind: RequestKind,
  isResumable = false,
): RoutedRequest {
  return testRequest({
    route: testRoute({kind, isResumable}),
    modelRequest: testModelRequest('m'),
  });
}

/** Reads an answer to its end. */
export async function readAnswer(result: Result<FleetAnswer, Error>) {
  const {body} = result.unwrap();
  let text = '';
  if (Buffer.isBuffer(body)) return {text: String(body), end: undefined};
  for (;;) {
    const piece = await body.next();
    if (piece.done) return {text, end: piece.value};
    text += Buffer.from(piece.value).toString();
  }
}

/** Numbers of the events in a text. */
export function eventIdsIn(text: string): number[] {
  return [...text.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
}

/** Never answers; ends when it is given up. */
export const neverRespond: AttemptScript = (_upstream, {cancel}) =>
  new Promise(resolve => {
    cancel.onCancel(() =>
      resolve(Err(new AttemptError(AttemptFailure.CANCELLED, 'given up'))),
    );
  });
