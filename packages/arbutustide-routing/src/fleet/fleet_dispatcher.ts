import type {Result} from 'ts-results';

import type {AttemptResult} from './run_attempt.js';
import type {FleetAnswer} from './fleet_answer.js';
import type {FleetConnector} from './fleet_connector.js';
import type {RequestDecision} from './fleet_decision.js';
import type {FleetProgress} from './fleet_progress.js';
import type {StreamTiming} from './proxy_event_stream.js';
import type {FleetUpstream} from './fleet_upstream.js';
import type {RequestSuspects} from '../request_suspects.js';
import type {Place, PlaceQueue} from './place_queue.js';
import type {ModelName} from './route.js';
import type {RoutedRequest} from './routed_request.js';

import {Cancellation, ErrorKind, RefusalError} from '@arbutustide/errors';
import {AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../caller_request.js';
import {quarantineRefusal} from '../dispatch_refusals.js';
import {AttemptOutcome, mayHaveRun, isRetryAllowed} from './attempt_verdict.js';
import {runAttempt} from './run_attempt.js';
import {DecisionStep} from './fleet_decision.js';
import {ranSoFar, remainingMilliseconds} from './fleet_progress.js';
import {ProxyEventStream} from './proxy_event_stream.js';
import {isRepeatable} from './route.js';
import {fingerprintRoutedRequest} from './routed_request.js';
import {InactivityTimeout} from './inactivity_timeout.js';

/** What the dispatcher asks of its surroundings. */
export interface FleetDispatcherOptions {
  /** Counts a request against its service's retry budget. */
  readonly recordRequest: (service: string) => void;
  readonly tryTakeRetry: (service: string) => boolean;
  /** Told when an upstream lacks a model that it was believed to hold. */
  readonly onMissing: (upstream: FleetUpstream, model: ModelName) => void;
  readonly onDecision: (decision: RequestDecision) => void;
  readonly suspects: RequestSuspects;
}

type AnswerOrRefusal = Promise<Result<FleetAnswer, RefusalError>>;
type AttemptOrRefusal = Promise<Result<AttemptResult, RefusalError>>;

/** Why a request's work was ended from this side. */
enum CancelReason {
  CALLER_GONE = 'the caller went away',
  DEADLINE = 'the deadline has passed',
}

/** After this time nodes have heard which upstream takes the request. */
const NOT_RUN_RETRY_AFTER_MILLISECONDS = 300;

const REFUSAL_KIND_BY_FAILURE: Readonly<Record<AttemptFailure, ErrorKind>> = {
  [AttemptFailure.NOT_CONNECTED]: ErrorKind.UPSTREAM_UNREACHABLE,
  [AttemptFailure.CLOSED]: ErrorKind.UPSTREAM_BROKEN,
  [AttemptFailure.SILENT]: ErrorKind.UPSTREAM_TIMED_OUT,
  [AttemptFailure.CANCELLED]: ErrorKind.UPSTREAM_TIMED_OUT,
  [AttemptFailure.PROTOCOL]: ErrorKind.ANSWER_INCOMPLETE,
};

/** Takes a routed request to its whole answer, or to a truthful refusal. */
export class FleetDispatcher {
  constructor(
    private readonly queue: PlaceQueue,
    private readonly connector: FleetConnector,
    private readonly options: FleetDispatcherOptions,
  ) {}

  /** Answers a caller's request, or refuses it. */
  async dispatch(request: RoutedRequest): AnswerOrRefusal {
    const {recordRequest, suspects} = this.options;
    recordRequest(request.service);
    const progress: FleetProgress = {
      request,
      cancellation: new Cancellation(),
      tried: new Set(),
      attempts: 0,
      mayHaveRun: false,
      lastDeliveryAtMilliseconds: request.arrivedAtMilliseconds,
      fingerprint: fingerprintRoutedRequest(request),
    };
    if (suspects.isQuarantined(progress.fingerprint)) {
      const refusal = quarantineRefusal();
      this.recordRefusal(progress, refusal);
      return Err(refusal);
    }
    const stopWatch = watch(progress);
    const makeAttempt = await this.attemptUntilAnswered(progress, undefined);
    const isOver = !makeAttempt.ok || makeAttempt.val.body !== undefined;
    if (isOver) stopWatch();
    if (!makeAttempt.ok) {
      this.recordRefusal(progress, makeAttempt.val);
      return makeAttempt;
    }
    return Ok(this.createAnswer(progress, makeAttempt.val, stopWatch));
  }

  /**
   * Sends the request to one upstream after another until one has answered or
   * no further attempt is allowed.
   */
  private async attemptUntilAnswered(
    progress: FleetProgress,
    resumeAfter: number | undefined,
  ): AttemptOrRefusal {
    let lastFailure: AttemptResult | undefined;
    for (;;) {
      const place = await this.queue.acquireSlot(progress);
      if (!place.ok) return lastFailure?.body ? Ok(lastFailure) : place;
      this.recordSlotTaken(progress, place.val);
      const attempt = await this.attempt(progress, place.val, resumeAfter);
      if (attempt.outcome === AttemptOutcome.ANSWERED) return Ok(attempt);
      if (attempt.outcome === AttemptOutcome.FAILED) lastFailure = attempt;
      const terms = {
        tryTakeRetry: () =>
          attempt.watch.hasExpired ||
          this.options.tryTakeRetry(progress.request.service),
      };
      if (isRetryAllowed(progress, attempt.outcome, terms)) continue;
      if (lastFailure?.body) return Ok(lastFailure);
      return Err(createRefusal(progress, attempt));
    }
  }

  private async attempt(
    progress: FleetProgress,
    place: Place,
    resumeAfter: number | undefined,
  ): Promise<AttemptResult> {
    const {upstream} = place;
    progress.tried.add(upstream);
    progress.attempts += 1;
    const tryReserveReplacement = () => this.mayReplace(progress);
    const cancelOnDisconnectOrDeadline = new InactivityTimeout(
      progress,
      upstream,
      tryReserveReplacement,
    );
    const means = {place, watch: cancelOnDisconnectOrDeadline, resumeAfter};
    const attempt = await runAttempt(this.connector, progress, means);
    const isOpen = attempt.body === undefined && attempt.error === undefined;
    if (!isOpen) place.release();
    if (mayHaveRun(attempt.outcome)) progress.mayHaveRun = true;
    // What was never sent does not count against the route's attempts.
    if (attempt.outcome === AttemptOutcome.NOT_CONNECTED)
      progress.attempts -= 1;
    this.updateUpstreamHealth(progress, attempt);
    this.recordAttempt(progress, attempt);
    return attempt;
  }

  /** Takes what another attempt in place of a silent one needs. */
  private mayReplace(progress: FleetProgress): boolean {
    const {route, service} = progress.request;
    return (
      isRepeatable(route) &&
      progress.attempts < route.maximumAttempts &&
      this.queue.hasFreeSlot(progress) &&
      this.options.tryTakeRetry(service)
    );
  }

  /** What an attempt tells of its upstream. */
  private updateUpstreamHealth(
    progress: FleetProgress,
    attempt: AttemptResult,
  ): void {
    const {upstream} = attempt.place;
    const {modelRequest} = progress.request;
    if (attempt.error) {
      if (attempt.error.failure !== AttemptFailure.CANCELLED) {
        upstream.recordFailure();
      }
      if (attempt.error.failure === AttemptFailure.CLOSED) {
        this.options.suspects.recordCrash(progress.fingerprint);
      }
      return;
    }
    upstream.recordSuccess();
    if (attempt.head?.isOtherInstance && modelRequest) {
      this.options.onMissing(upstream, modelRequest);
    }
  }

  private createAnswer(
    progress: FleetProgress,
    attempt: AttemptResult,
    stopWatch: () => void,
  ): FleetAnswer {
    const {head, place, body} = attempt;
    const common = {
      status: head?.status ?? 0,
      headers: head?.headers ?? [],
      upstreamId: place.upstream.id,
    };
    if (body !== undefined || !head) {
      this.recordEnd(progress, AnswerEnd.WHOLE, place.upstream);
      return {...common, body: body ?? Buffer.alloc(0)};
    }
    const stream = new ProxyEventStream(progress, {
      resume: after => this.attemptUntilAnswered(progress, after),
      tryTakeRetry: () => this.options.tryTakeRetry(progress.request.service),
      onConnectionLost: () =>
        this.options.suspects.recordCrash(progress.fingerprint),
      onResume: (reason, next) => this.recordResume(progress, reason, next),
      onEnd: (end, pace) => {
        stopWatch();
        this.recordEnd(progress, end, place.upstream, pace);
      },
    });
    return {...common, body: stream.readChunks(attempt)};
  }

  private recordSlotTaken(progress: FleetProgress, place: Place): void {
    const {upstream, waitedMilliseconds} = place;
    this.recordDecision(progress, {
      step: DecisionStep.PLACED,
      upstream: upstream.id,
      load: upstream.estimatedInFlight,
      waitedMilliseconds: Math.round(waitedMilliseconds),
    });
  }

  private recordAttempt(progress: FleetProgress, attempt: AttemptResult): void {
    if (attempt.outcome === AttemptOutcome.ANSWERED) return;
    this.recordDecision(progress, {
      step: DecisionStep.ATTEMPT_ENDED,
      upstream: attempt.place.upstream.id,
      outcome: attempt.outcome,
      attempts: progress.attempts,
      ...(attempt.head && {status: attempt.head.status}),
      ...(attempt.error && {reason: attempt.error.message}),
    });
  }

  private recordResume(
    progress: FleetProgress,
    reason: string,
    next: AttemptResult | undefined,
  ): void {
    this.recordDecision(progress, {
      step: DecisionStep.STREAM_RESUMED,
      reason,
      attempts: progress.attempts,
      ...(next && {upstream: next.place.upstream.id}),
    });
  }

  private recordRefusal(progress: FleetProgress, refusal: RefusalError): void {
    this.recordDecision(progress, {
      step: DecisionStep.REFUSED,
      kind: refusal.kind,
      ran: refusal.ran,
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      reason: refusal.message,
      elapsedMilliseconds: elapsedMilliseconds(progress),
    });
  }

  private recordEnd(
    progress: FleetProgress,
    end: AnswerEnd,
    upstream: FleetUpstream,
    pace?: StreamTiming,
  ): void {
    const firstEvent = pace?.firstEventMilliseconds;
    this.recordDecision(progress, {
      step: DecisionStep.ENDED,
      end,
      upstream: upstream.id,
      ...(firstEvent !== undefined && {
        firstEventMilliseconds: Math.round(firstEvent),
      }),
      ...(pace && {
        longestPauseMilliseconds: Math.round(pace.longestPauseMilliseconds),
      }),
      attempts: progress.attempts,
      elapsedMilliseconds: elapsedMilliseconds(progress),
    });
  }

  private recordDecision(
    {request}: FleetProgress,
    decision: Omit<RequestDecision, 'requestId' | 'route' | 'service'>,
  ): void {
    const {requestId, route, service, modelRequest} = request;
    this.options.onDecision({
      requestId,
      route: route.name,
      service,
      ...(modelRequest && {model: modelRequest.model}),
      ...decision,
    });
  }
}

/**
 * Cancels the request's work when the caller goes or the deadline passes.
 *
 * @return ends the watch.
 */
function watch(progress: FleetProgress): () => void {
  const {request, cancellation: cancel} = progress;
  const timer = setTimeout(
    () => cancel.cancel(CancelReason.DEADLINE),
    Math.max(0, remainingMilliseconds(progress)),
  );
  const forget = request.presence.onCancel(() =>
    cancel.cancel(CancelReason.CALLER_GONE),
  );
  return () => {
    clearTimeout(timer);
    forget();
  };
}

function createRefusal(
  progress: FleetProgress,
  attempt: AttemptResult,
): RefusalError {
  const {request} = progress;
  const ran = ranSoFar(progress);
  if (request.presence.isCancelled) {
    return new RefusalError(ErrorKind.CALLER_GONE, 'the caller went away', {
      ran,
    });
  }
  if (attempt.error) {
    const kind = REFUSAL_KIND_BY_FAILURE[attempt.error.failure];
    return new RefusalError(kind, attempt.error.message, {ran});
  }
  return new RefusalError(
    ErrorKind.UPSTREAM_UNREACHABLE,
    `${request.service} did not take the request: ${attempt.outcome}`,
    {ran, retryAfterMilliseconds: NOT_RUN_RETRY_AFTER_MILLISECONDS},
  );
}

function elapsedMilliseconds({request}: FleetProgress): number {
  return Math.round(performance.now() - request.arrivedAtMilliseconds);
}
