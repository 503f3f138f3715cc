import type {
  AttemptOptions,
  ProxyConnector,
  UpstreamResponseHead,
} from '../../proxy/proxy_connector.js';
import type {RequestDecision} from '../../proxy/request_decision.js';
import type {ProxyDispatcherOptions} from '../../proxy/proxy_dispatcher_options.js';
import type {ProxyAnswer} from '../../proxy/proxy_answer.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RoutedRequest} from '../../proxy/routed_request.js';
import type {StreamOrigins} from '../../proxy/stream_origin/stream_origin.js';
import type {Result} from 'ts-results';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {
  PoisonSegmentDetector,
  ProcessState,
} from '../../proxy/crash_attribution/poison_segment_detector.js';
import {ENDLESS_ANSWER_PERIOD} from '../../proxy/answer_period.js';
import {DemandCounter} from '../../proxy/demand_counter.js';
import {
  chooseUpstream,
  compatibleUpstreams,
  NoUpstreamReason,
  expectedAcceptanceMilliseconds,
} from '../../proxy/choose_upstream.js';
import {ProxyDispatcher} from '../../proxy/proxy_dispatcher.js';
import {NO_RELAY} from '../../proxy/relay/request_relay.js';
import {OPEN_GATE} from '../../proxy/request_gate.js';
import {SlotQueue} from '../../proxy/slot_queue.js';
import type {RequestKind} from '../../proxy/route.js';
import {UpstreamState} from '../../proxy/proxy_upstream.js';
import {OriginKnowledge} from '../../proxy/stream_origin/stream_origin.js';
import {PoisonRequestDetector} from '../../poison_request_detector.js';
import {testModelRequest, testRequest, testRoute} from './proxy_fixtures.js';

type ScriptedOutcome = Result<UpstreamResponseHead, AttemptError>;
/** How an upstream reacts to one attempt. */
export type AttemptScript = (
  upstream: ProxyUpstream,
  terms: AttemptOptions,
) => ScriptedOutcome | Promise<ScriptedOutcome>;

/** An answer with a body in the given chunks. */
export function respondWith(
  changes: Partial<UpstreamResponseHead>,
  body: readonly string[] = [],
) {
  const response: UpstreamResponseHead = {
    status: 200,
    headers: [],
    isNotRun: false,
    isOtherInstance: false,
    isSigned: true,
    isEventStream: false,
    isSelfDelimiting: true,
    isLeaving: false,
    backOffMilliseconds: undefined,
    requestsPerSecond: undefined,
    survivedRejectionsPerSecond: undefined,
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
export class ScriptedConnector implements ProxyConnector {
  readonly upstreamIds: string[] = [];
  readonly resumedAfterIds: (number | undefined)[] = [];

  constructor(private readonly scripts: AttemptScript[]) {}

  drainConnections(): void {}

  async probe(): Promise<boolean> {
    return true;
  }

  async sendRequest(
    upstream: ProxyUpstream,
    _request: RoutedRequest,
    terms: AttemptOptions,
  ): Promise<ScriptedOutcome> {
    this.upstreamIds.push(upstream.id);
    this.resumedAfterIds.push(terms.resumeAfterEventId);
    const script = this.scripts.shift();
    if (!script) throw new Error('no attempt was expected');
    return script(upstream, terms);
  }
}

/** Knows no origin; takes every stream for one of the only version. */
const NO_ORIGINS: StreamOrigins = {
  resolve: async () => ({knowledge: OriginKnowledge.NO_VERSION}),
  recordBegun: () => {},
  recordComplete: () => {},
};

/** A dispatcher for the given upstreams, with an unlimited retry budget. */
export function createDispatcher(
  connector: ProxyConnector,
  upstreams: () => readonly ProxyUpstream[],
  onDecision: (decision: RequestDecision) => void,
  streamOrigins = NO_ORIGINS,
  relay = NO_RELAY,
  gate = OPEN_GATE,
  answerPeriod = ENDLESS_ANSWER_PERIOD,
  handovers: Partial<
    Pick<
      ProxyDispatcherOptions,
      | 'memoryMover'
      | 'movesMemory'
      | 'paths'
      | 'streamTimes'
      | 'tryConsumeRetry'
    >
  > = {},
): ProxyDispatcher {
  const settings = {
    ownFailureDomain: 'near',
    priceShare: 0.1,
    fullShare: 1,
    random: () => 0,
  };
  const queue = new SlotQueue({
    chooseUpstream: (
      {request, triedUpstreams: tried, origin},
      {isCandidate} = {},
    ) =>
      chooseUpstream(
        [...compatibleUpstreams(upstreams(), {origin})].filter(
          upstream => isCandidate?.(upstream) ?? true,
        ),
        request.modelRequest,
        isCandidate ? new Set() : tried,
        settings,
      ),
    predictWaitMilliseconds: ({request}, reason, ahead) =>
      reason === NoUpstreamReason.NOT_HELD
        ? undefined
        : Math.max(
            10,
            expectedAcceptanceMilliseconds(
              upstreams(),
              request.modelRequest,
              ahead,
            ),
          ),
    minimumServiceMilliseconds: () => 20,
    onNotHeld: () => {},
    observer: new DemandCounter(),
  });
  return new ProxyDispatcher(queue, {
    connector,
    relay,
    paths: {
      recordNoPath: (upstream, began) =>
        upstream.reachability.recordNoPath(began),
      suspect: () => {},
      whenOthersAnswer: (_upstream, action) => action(),
    },
    recordRequest: () => {},
    recordRefusedDemand: () => {},
    tryConsumeRetry: () => true,
    onModelMissing: (upstream, model) =>
      upstream.recordObservedHolding(model, false),
    onSignals: (upstream, signals, unlimitedSince) => {
      upstream.recordSignals(signals, unlimitedSince);
      if (!signals.isLeaving) return;
      upstream.updateDescription({
        ...upstream.description,
        state: UpstreamState.LEAVING,
      });
    },
    onDecision,
    streamOrigins,
    gate,
    answerPeriod,
    ...handovers,
    poisonRequestDetector: new PoisonRequestDetector(
      10_000,
      {crashes: () => 0, runsOtherSuspects: () => false},
      3,
    ),
    poisonSegmentDetector: new PoisonSegmentDetector({
      identity: 'node',
      processState: () => ProcessState.RUNNING,
      onCrash: () => {},
      onQuarantine: () => {},
      onExonerated: () => {},
    }),
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
export async function readAnswer(result: Result<ProxyAnswer, Error>) {
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
export const neverRespond: AttemptScript = (
  _upstream,
  {cancellation: cancel},
) =>
  new Promise(resolve => {
    cancel.onCancel(() =>
      resolve(Err(new AttemptError(AttemptFailure.CANCELLED, 'given up'))),
    );
  });
