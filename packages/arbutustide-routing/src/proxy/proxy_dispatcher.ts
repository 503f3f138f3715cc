import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AttemptResult} from './run_attempt.js';
import type {ProxyAnswer} from './proxy_answer.js';
import type {
  ProxyConnector,
  UpstreamSignalsHandler,
} from './proxy_connector.js';
import type {RequestDecision} from './request_decision.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {ObservedAttempt} from './crash_attribution/observed_attempt.js';
import type {PoisonSegmentDetector} from './crash_attribution/poison_segment_detector.js';
import type {PoisonRequestDetector} from '../poison_request_detector.js';
import type {UpstreamSlot, SlotQueue} from './slot_queue.js';
import type {ModelReference} from './route.js';
import type {RoutedRequest} from './routed_request.js';
import type {StreamOrigins} from './stream_origin/stream_origin.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../caller_request.js';
import {quarantineRefusal} from '../dispatch_refusals.js';
import {AttemptOutcome, mayHaveRun, isRetryAllowed} from './attempt_outcome.js';
import {runAttempt} from './run_attempt.js';
import {DecisionRecorder} from './decision_recorder.js';
import {ranSoFar, remainingMilliseconds} from './routed_request_progress.js';
import {
  cancelledRefusal,
  CancelReason,
  failedAttemptRefusal,
  unknownOriginRefusal,
} from './proxy_refusals.js';
import {ProxyEventStream} from './proxy_event_stream.js';
import {isRepeatable} from './route.js';
import {fingerprintRoutedRequest} from './routed_request.js';
import {InactivityTimeout} from './inactivity_timeout.js';
import {OriginKnowledge} from './stream_origin/stream_origin.js';

/** Retry budget and callbacks of a dispatcher. */
export interface ProxyDispatcherOptions {
  /** Counts a request against its service's retry budget. */
  readonly recordRequest: (service: string) => void;
  /** Consumes one retry of the service's budget; false if none is left. */
  readonly tryConsumeRetry: (service: string) => boolean;
  /** Called when an upstream turns out not to hold a model. */
  readonly onModelMissing: (
    upstream: ProxyUpstream,
    model: ModelReference,
  ) => void;
  readonly onSignals: UpstreamSignalsHandler;
  readonly onDecision: (decision: RequestDecision) => void;
  readonly poisonRequestDetector: PoisonRequestDetector;
  readonly poisonSegmentDetector: PoisonSegmentDetector;
  readonly streamOrigins: StreamOrigins;
}

type AnswerOrRefusal = Promise<Result<ProxyAnswer, RefusalError>>;
type AttemptOrRefusal = Promise<Result<AttemptResult, RefusalError>>;

/** What a failed attempt tells of whether its upstream survived it. */
const CRASH_EVIDENCE_BY_FAILURE: Readonly<
  Record<AttemptFailure, (observed: ObservedAttempt | undefined) => void>
> = {
  [AttemptFailure.NOT_CONNECTED]: () => {},
  [AttemptFailure.CONNECTION_LOST]: observed => observed?.recordBroken(),
  [AttemptFailure.INACTIVITY_TIMEOUT]: observed => observed?.recordBroken(),
  [AttemptFailure.CANCELLED]: observed => observed?.recordCancelled(),
  [AttemptFailure.PROTOCOL_VIOLATION]: () => {},
};

/**
 * Sends routed requests to upstreams, with retries, until each is answered or
 * refused. A refusal states whether the request may have run.
 */
export class ProxyDispatcher {
  private readonly decisions: DecisionRecorder;

  constructor(
    private readonly queue: SlotQueue,
    private readonly connector: ProxyConnector,
    private readonly options: ProxyDispatcherOptions,
  ) {
    this.decisions = new DecisionRecorder(options.onDecision);
  }

  /** Resolves to the answer of an upstream, or to a refusal. */
  async dispatch(request: RoutedRequest): AnswerOrRefusal {
    const {
      recordRequest,
      poisonRequestDetector: suspects,
      poisonSegmentDetector,
    } = this.options;
    recordRequest(request.service);
    const progress: RoutedRequestProgress = {
      request,
      cancellation: new Cancellation(),
      triedUpstreams: new Set(),
      attempts: 0,
      mayHaveRun: false,
      origin: undefined,
      lastDeliveryAtMilliseconds: request.arrivedAtMilliseconds,
      fingerprint: fingerprintRoutedRequest(request),
    };
    if (
      suspects.isQuarantined(progress.fingerprint) ||
      poisonSegmentDetector.isQuarantined(request)
    ) {
      const refusal = quarantineRefusal();
      this.decisions.recordRefusal(progress, refusal);
      return Err(refusal);
    }
    const stopCancellation = cancelOnDisconnectOrDeadline(progress);
    const originRefusal = await this.resolveOrigin(progress);
    const attempt = originRefusal
      ? Err(originRefusal)
      : await this.attemptUntilAnswered(progress, undefined);
    const isOver = !attempt.ok || attempt.val.body !== undefined;
    if (isOver) stopCancellation();
    if (!attempt.ok) {
      this.decisions.recordRefusal(progress, attempt.val);
      return attempt;
    }
    return Ok(this.createAnswer(progress, attempt.val, stopCancellation));
  }

  /**
   * Finds where the stream began that the request resumes. Returns a refusal if
   * it cannot be known: the stream must not go on at another version.
   */
  private async resolveOrigin(
    progress: RoutedRequestProgress,
  ): Promise<RefusalError | undefined> {
    const {request} = progress;
    if (request.lastEventId === undefined) return undefined;
    const resolved = await Promise.race([
      this.options.streamOrigins.resolve(request),
      untilCancelled(progress),
    ]);
    if (!resolved) return cancelledRefusal(progress);
    if (resolved.knowledge === OriginKnowledge.UNKNOWN)
      return unknownOriginRefusal(request);
    if (resolved.knowledge === OriginKnowledge.KNOWN)
      progress.origin = resolved.origin;
    return undefined;
  }

  /**
   * Sends the request to one upstream after another until one answers or no
   * retry is allowed. Falls back to the last error answer of an upstream.
   */
  private async attemptUntilAnswered(
    progress: RoutedRequestProgress,
    resumeAfterEventId: number | undefined,
  ): AttemptOrRefusal {
    let lastFailure: AttemptResult | undefined;
    for (;;) {
      const slot = await this.queue.acquireSlot(progress);
      if (!slot.ok) return lastFailure?.body ? Ok(lastFailure) : slot;
      // The quarantine may have begun while the request was queued.
      if (this.options.poisonSegmentDetector.isQuarantined(progress.request)) {
        slot.val.release();
        return Err(quarantineRefusal(ranSoFar(progress)));
      }
      this.decisions.recordSlotTaken(progress, slot.val);
      const attempt = await this.makeAttempt(
        progress,
        slot.val,
        resumeAfterEventId,
      );
      if (attempt.outcome === AttemptOutcome.ANSWERED) return Ok(attempt);
      if (attempt.outcome === AttemptOutcome.FAILED) lastFailure = attempt;
      const budget = {
        tryConsumeRetry: () =>
          attempt.inactivityTimeout.hasExpired ||
          this.tryConsumeRetry(progress, mayHaveRun(attempt.outcome)),
      };
      if (isRetryAllowed(progress, attempt.outcome, budget)) continue;
      if (lastFailure?.body) return Ok(lastFailure);
      return Err(failedAttemptRefusal(progress, attempt));
    }
  }

  private async makeAttempt(
    progress: RoutedRequestProgress,
    slot: UpstreamSlot,
    resumeAfterEventId: number | undefined,
  ): Promise<AttemptResult> {
    const {upstream} = slot;
    progress.triedUpstreams.add(upstream);
    progress.attempts += 1;
    const tryReserveReplacement = () => this.tryReserveReplacement(progress);
    const inactivityTimeout = new InactivityTimeout(
      progress,
      upstream,
      tryReserveReplacement,
    );
    const observed = this.options.poisonSegmentDetector.observe(
      progress.request,
      upstream.description,
    );
    const {onSignals} = this.options;
    const context = {
      slot,
      inactivityTimeout,
      observed,
      onSignals,
      resumeAfterEventId,
    };
    const attempt = await runAttempt(this.connector, progress, context);
    const isOpen = attempt.body === undefined && attempt.error === undefined;
    if (!isOpen) slot.release();
    if (mayHaveRun(attempt.outcome)) progress.mayHaveRun = true;
    // A request that was never sent does not count against maximumAttempts.
    if (attempt.outcome === AttemptOutcome.NOT_CONNECTED)
      progress.attempts -= 1;
    this.updateUpstreamHealth(progress, attempt);
    this.decisions.recordAttempt(progress, attempt);
    return attempt;
  }

  /** Consumes a retry, unless it would probably crash another upstream. */
  private tryConsumeRetry(
    {request}: RoutedRequestProgress,
    mayHaveRunBefore: boolean,
  ): boolean {
    const {poisonSegmentDetector, tryConsumeRetry} = this.options;
    if (mayHaveRunBefore && poisonSegmentDetector.isSuspected(request))
      return false;
    return tryConsumeRetry(request.service);
  }

  /** Consumes a retry to replace an inactive upstream, if that is allowed. */
  private tryReserveReplacement(progress: RoutedRequestProgress): boolean {
    const {route, service} = progress.request;
    return (
      isRepeatable(route) &&
      progress.attempts < route.maximumAttempts &&
      this.queue.hasFreeSlot(progress) &&
      this.options.tryConsumeRetry(service)
    );
  }

  /** Updates the health and holdings of the upstream after an attempt. */
  private updateUpstreamHealth(
    progress: RoutedRequestProgress,
    attempt: AttemptResult,
  ): void {
    const {upstream} = attempt.slot;
    const {modelRequest} = progress.request;
    this.recordCrashEvidence(attempt);
    if (attempt.error) {
      if (attempt.error.failure !== AttemptFailure.CANCELLED) {
        upstream.recordFailure();
      }
      if (attempt.error.failure === AttemptFailure.CONNECTION_LOST) {
        this.options.poisonRequestDetector.recordCrash(progress.fingerprint);
      }
      return;
    }
    upstream.recordSuccess();
    if (attempt.head?.isOtherInstance && modelRequest) {
      this.options.onModelMissing(upstream, modelRequest);
    }
  }

  /** Records whether the upstream survived an attempt that has ended. */
  private recordCrashEvidence({
    slot,
    observed,
    outcome,
    body,
    error,
  }: AttemptResult) {
    if (error?.isRefused) {
      this.options.poisonSegmentDetector.recordUnreachable(
        slot.upstream.description,
      );
    }
    if (error) CRASH_EVIDENCE_BY_FAILURE[error.failure](observed);
    else if (body !== undefined && mayHaveRun(outcome)) observed?.recordWhole();
  }

  /** Records where a stream began whose first event is about to be sent. */
  private recordOrigin(
    progress: RoutedRequestProgress,
    {slot}: AttemptResult,
  ): void {
    if (progress.origin) return;
    const {service, softwareVersion} = slot.upstream.description;
    progress.origin = {service, softwareVersion};
    this.options.streamOrigins.recordBegun(progress.request, progress.origin);
  }

  private createAnswer(
    progress: RoutedRequestProgress,
    attempt: AttemptResult,
    stopCancellation: () => void,
  ): ProxyAnswer {
    const {head, slot, body} = attempt;
    const common = {
      status: head?.status ?? 0,
      headers: head?.headers ?? [],
      upstreamId: slot.upstream.id,
    };
    const {poisonRequestDetector} = this.options;
    if (body !== undefined || !head) {
      if (head) poisonRequestDetector.recordSuccess(progress.fingerprint);
      this.decisions.recordEnd(progress, AnswerEnd.WHOLE, slot.upstream);
      return {...common, body: body ?? Buffer.alloc(0)};
    }
    const stream = new ProxyEventStream(progress, {
      resume: after => this.attemptUntilAnswered(progress, after),
      tryConsumeRetry: () => this.tryConsumeRetry(progress, true),
      onConnectionLost: () =>
        poisonRequestDetector.recordCrash(progress.fingerprint),
      onFirstEvent: first => this.recordOrigin(progress, first),
      onResume: (reason, next) =>
        this.decisions.recordResume(progress, reason, next),
      onEnd: (end, timing, reason) => {
        stopCancellation();
        if (end === AnswerEnd.WHOLE && head.isSelfDelimiting)
          poisonRequestDetector.recordSuccess(progress.fingerprint);
        if (end === AnswerEnd.WHOLE)
          this.options.streamOrigins.recordComplete(progress.request);
        this.decisions.recordEnd(progress, end, slot.upstream, {
          timing,
          reason,
        });
      },
    });
    return {...common, body: stream.readChunks(attempt)};
  }
}

function untilCancelled({
  cancellation,
}: RoutedRequestProgress): Promise<undefined> {
  return new Promise(resolve => {
    cancellation.onCancel(() => resolve(undefined));
  });
}

/**
 * Cancels the request when the caller disconnects or the deadline passes.
 *
 * @return stops both triggers.
 */
function cancelOnDisconnectOrDeadline(
  progress: RoutedRequestProgress,
): () => void {
  const {request, cancellation: cancel} = progress;
  const timer = setTimeout(
    () => cancel.cancel(CancelReason.DEADLINE),
    Math.max(0, remainingMilliseconds(progress)),
  );
  const removeCancelListener = request.disconnection.onCancel(() =>
    cancel.cancel(CancelReason.CALLER_GONE),
  );
  return () => {
    clearTimeout(timer);
    removeCancelListener();
  };
}
