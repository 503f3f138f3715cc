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
import {PoisonRequestDetector} from '../../poison_request_detector.js';
import {testModelRequest, testRequest, testRoute} from './proxy_fixtures.js';

type ScriptedOutcome = Result<UpstreamHead, AttemptError>;
/** How an upstream reacts to one attempt. */
export type AttemptScript = (
  upstream: FleetUpstream,
  terms: AttemptTerms,
) => ScriptedOutcome | Promise<ScriptedOutcome>;

/** An answer with a body in the given chunks. */
export function respondWith(
  changes: Partial<UpstreamHead>,
  body: readonly string[] = [],
) {
  const response: UpstreamHead = {
    status: 200,
    headers: [],
    isNotRun: false,
    isOtherInstance: false,
    isSigned: true,
    isEventStream: false,
    load: undefined,
    body: (async function* () {
      for (const chunk of body) yield Buffer.from(chunk);
    })(),
    ...changes,
  };
  return Ok(response);
}

/** The error of a connection that broke off. */
export function connectionLostError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the connection broke',
  );
}

/** An event stream that breaks off after the given events if incomplete. */
export function respondWithEvents(ids: readonly number[], isComplete: boolean) {
  const body = (async function* () {
    for (const id of ids) yield Buffer.from(`id: ${id}\ndata: x\n\n`);
    if (!isComplete) throw connectionLostError();
  })();
  return respondWith({isEventStream: true, body});
}

/** Reacts to each attempt by the next script. */
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

/** A dispatcher for the given upstreams, with an unlimited retry budget. */
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
    suspects: new PoisonRequestDetector(
      10_000,
      {crashes: () => 0, runsOtherSuspects: () => false},
      3,
    ),
  });
}

/** A request for the model `m`. */
export function createRequest(
  kind: RequestKind,
  isResumable = false,
): RoutedRequest {
  return testRequest({
    route: testRoute({kind, isResumable}),
    modelRequest: testModelRequest('m'),
  });
}

/** Reads an answer to its end; `end` is undefined for a complete body. */
export async function readAnswer(result: Result<FleetAnswer, Error>) {
  const {body} = result.unwrap();
  let text = '';
  if (Buffer.isBuffer(body)) return {text: String(body), end: undefined};
  for (;;) {
    const chunk = await body.next();
    if (chunk.done) return {text, end: chunk.value};
    text += Buffer.from(chunk.value).toString();
  }
}

/** Ids of the events in a text. */
export function eventIdsIn(text: string): number[] {
  return [...text.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
}

/** Never answers; fails when the attempt is cancelled. */
export const neverRespond: AttemptScript = (_upstream, {cancel}) =>
  new Promise(resolve => {
    cancel.onCancel(() =>
      resolve(Err(new AttemptError(AttemptFailure.CANCELLED, 'given up'))),
    );
  });
