import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {DemandedEntry} from './demand_counter.js';
import type {Handover} from './handover/handover.js';
import type {HandoverSummary} from './handover/handover_tally.js';
import type {OpenStream} from './handover/open_stream.js';
import type {AttemptStart} from './proxy_connector.js';
import type {AttemptResult} from './run_attempt.js';
import type {ProxyAnswer} from './proxy_answer.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {ProxyDispatcherOptions} from './proxy_dispatcher_options.js';
import type {RelayedProgress} from './relay/request_relay.js';
import type {SlotQueue} from './slot_queue.js';
import type {RoutedRequest} from './routed_request.js';

import {
  Cancellation,
  createStoppingRefusal,
  ExecutionStatus,
} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../caller_request.js';
import {quarantineRefusal} from '../dispatch_refusals.js';
import {AttemptMaker} from './attempt_maker.js';
import {AttemptOutcome, mayHaveRun, isRetryAllowed} from './attempt_outcome.js';
import {awaitFirstEvent} from './first_event.js';
import {DecisionRecorder} from './decision_recorder.js';
import {
  canStillEnd,
  expectedStreamMilliseconds,
} from './handover/can_still_end.js';
import {StreamHandovers} from './handover/stream_handovers.js';
import {cancelOnTriggers, untilCancelled} from './request_cancellation.js';
import {ranSoFar, remainingMilliseconds} from './routed_request_progress.js';
import {
  cancelledRefusal,
  CancelReason,
  failedAttemptRefusal,
  tooLateRefusal,
  unknownOriginRefusal,
  withRanSoFar,
} from './proxy_refusals.js';
import {ProxyEventStream} from './proxy_event_stream.js';
import {fingerprintRoutedRequest} from './routed_request.js';
import {OriginKnowledge} from './stream_origin/stream_origin.js';

/**
 * A request that was queued for longer takes its team's quota again: requests
 * that were admitted over a long time and run together would exceed the quota of
 * a window by the rate times their wait.
 */
const QUOTA_VALID_MILLISECONDS = 500;

type AnswerOrRefusal = Promise<Result<ProxyAnswer, RefusalError>>;
type AttemptOrRefusal = Promise<Result<AttemptResult, RefusalError>>;

/**
 * Sends routed requests to upstreams, with retries, until each is answered or
 * refused. A refusal states whether the request may have run.
 */
export class ProxyDispatcher {
  private readonly decisions: DecisionRecorder;
  private readonly attempts: AttemptMaker;
  private readonly handovers: StreamHandovers;
  private readonly shutdown = new Cancellation();

  constructor(
    private readonly queue: SlotQueue,
    private readonly options: ProxyDispatcherOptions,
  ) {
    this.decisions = new DecisionRecorder(options.onDecision);
    this.attempts = new AttemptMaker(queue, options, this.decisions);
    this.handovers = new StreamHandovers({
      answerPeriod: options.answerPeriod,
      memoryMover: options.memoryMover,
      movesMemory: options.movesMemory,
      streamTimes: options.streamTimes,
      attempts: this.attempts,
      onHandover: (progress, record) =>
        this.decisions.recordHandover(progress, record),
      onPlaceMissed: (progress, action, reason) =>
        this.decisions.recordPlaceMissed(progress, action, reason),
      onMove: (progress, record) => this.decisions.recordMove(progress, record),
      onReplacementFailed: (progress, target, reason) =>
        this.decisions.recordReplacementFailed(progress, target, reason),
    });
  }

  /**
   * Resolves to the answer of an upstream, once its body is complete or its
   * first event has come, or to a refusal.
   *
   * @param relayed what the request has been through, if a peer passes it on.
   */
  async dispatch(
    request: RoutedRequest,
    relayed?: RelayedProgress,
  ): AnswerOrRefusal {
    // The node that has it from its caller counts it.
    if (!relayed) this.options.recordRequest(request.service);
    const progress: RoutedRequestProgress = {
      request,
      cancellation: new Cancellation(),
      triedUpstreams: new Set(),
      triedPeers: new Set(),
      isRelayed: relayed !== undefined,
      isContinuation:
        (relayed?.resumeAfterEventId ?? request.lastEventId) !== undefined,
      attempts: relayed?.attempts ?? 0,
      mayHaveRun: relayed?.mayHaveRun ?? false,
      hasStreamBegun: false,
      isAnsweredWhole: false,
      origin: relayed?.origin,
      lastDeliveryAtMilliseconds: request.arrivedAtMilliseconds,
      fingerprint: fingerprintRoutedRequest(request),
    };
    const hopeless = this.refuseHopeless(progress);
    if (hopeless) {
      this.decisions.recordRefusal(progress, hopeless);
      return Err(hopeless);
    }
    const stopCancellation = cancelOnTriggers(progress, this.shutdown);
    const resumeAfterEventId = relayed?.resumeAfterEventId;
    const stream = this.handovers.open(progress);
    const start = {resumeAfterEventId};
    const attempt = await this.admitAndAttempt(progress, start, stream);
    const isOver = !attempt.ok || attempt.val.body !== undefined;
    if (isOver) {
      stopCancellation();
      stream.close();
    }
    if (!attempt.ok) {
      this.decisions.recordRefusal(progress, attempt.val);
      return attempt;
    }
    const answer = this.createAnswer(
      progress,
      attempt.val,
      stream,
      stopCancellation,
    );
    return awaitFirstEvent(progress, answer, () =>
      this.refuseToBegin(progress),
    );
  }

  /**
   * Counts a request that this node has refused on arrival: its caller wants the
   * model all the same.
   */
  recordRefusedArrival(entry: DemandedEntry): void {
    this.options.recordRequest(entry.service);
    this.options.recordRefusedDemand(entry);
  }

  /**
   * Refuses all requests, those that wait and those to come, and breaks off the
   * streams that have begun. Called when this node stops and its time is up.
   */
  giveUp(): void {
    this.queue.close();
    this.shutdown.cancel(CancelReason.STOPPING);
  }

  /**
   * Hands stalled streams over to other upstreams. Called often while this node
   * stops.
   */
  handOverStalledStreams(): void {
    this.handovers.review();
  }

  /** What was done for open streams so far, and what is left of them. */
  get handoverSummary(): HandoverSummary {
    return this.handovers.summary;
  }

  /** The refusal of a request that must not be attempted at all, if so. */
  private refuseHopeless(
    progress: RoutedRequestProgress,
  ): RefusalError | undefined {
    const {poisonRequestDetector, poisonSegmentDetector} = this.options;
    const isQuarantined =
      poisonRequestDetector.isQuarantined(progress.fingerprint) ||
      poisonSegmentDetector.isQuarantined(progress.request);
    if (isQuarantined) return quarantineRefusal();
    return remainingMilliseconds(progress) <= 0
      ? cancelledRefusal(progress)
      : undefined;
  }

  /** The refusal of a stream that begins too late, if so. */
  private refuseToBegin(
    progress: RoutedRequestProgress,
  ): RefusalError | undefined {
    if (progress.isContinuation) return undefined;
    const {answerPeriod, streamTimes} = this.options;
    const expected = expectedStreamMilliseconds(progress, streamTimes);
    if (canStillEnd(progress, answerPeriod, expected)) return undefined;
    // A peer that passed it to this node may pass it to another one.
    const refusal = progress.isRelayed
      ? createStoppingRefusal(ExecutionStatus.POSSIBLY_EXECUTED)
      : tooLateRefusal();
    this.decisions.recordRefusal(progress, refusal);
    return refusal;
  }

  /**
   * Admits the request, unless a peer has done so, and attempts it. What it
   * took of its team's quota is given back if it has certainly not run.
   */
  private async admitAndAttempt(
    progress: RoutedRequestProgress,
    start: AttemptStart,
    stream: OpenStream,
  ): AttemptOrRefusal {
    const originRefusal = await this.resolveOrigin(progress);
    if (originRefusal) return Err(originRefusal);
    const quotaRefusal = progress.isRelayed
      ? undefined
      : await this.takeQuota(progress);
    if (quotaRefusal) return Err(quotaRefusal);
    const attempt = await this.attemptUntilAnswered(progress, start, stream);
    if (!attempt.ok && ranSoFar(progress) === ExecutionStatus.NOT_EXECUTED)
      progress.admission?.giveBack();
    return attempt;
  }

  /** Takes the quota for a request, in place of what it has taken before. */
  private async takeQuota(
    progress: RoutedRequestProgress,
  ): Promise<RefusalError | undefined> {
    progress.admission?.giveBack();
    progress.admission = undefined;
    const admitted = await this.options.gate.admit(progress.request);
    if (!admitted.ok) return admitted.val;
    progress.admission = admitted.val;
    return undefined;
  }

  /**
   * Finds where the stream began that the request resumes. Returns a refusal if
   * it cannot be known: the stream must not go on at another version.
   */
  private async resolveOrigin(
    progress: RoutedRequestProgress,
  ): Promise<RefusalError | undefined> {
    const {request} = progress;
    const isKnown = progress.origin !== undefined;
    if (request.lastEventId === undefined || isKnown) return undefined;
    const resolved = await Promise.race([
      this.options.streamOrigins.resolve(request),
      untilCancelled(progress),
    ]);
    if (!resolved) return cancelledRefusal(progress);
    if (resolved.knowledge === OriginKnowledge.UNKNOWN)
      return unknownOriginRefusal(request, resolved.reason);
    if (resolved.knowledge === OriginKnowledge.KNOWN)
      progress.origin = resolved.origin;
    return undefined;
  }

  /**
   * Sends the request to one upstream after another until one answers or no
   * retry is allowed. Falls back to the last error answer of an upstream.
   *
   * A stream may be handed over while it waits.
   *
   * @param firstHandover where the first attempt is made; found if absent.
   */
  private async attemptUntilAnswered(
    progress: RoutedRequestProgress,
    start: AttemptStart,
    stream: OpenStream,
    firstHandover?: Handover,
  ): AttemptOrRefusal {
    let lastFailure: AttemptResult | undefined;
    let handover = firstHandover;
    for (;;) {
      const slot = await this.attempts.acquireSlot(progress, handover?.slot);
      if (!slot.ok) return lastFailure?.body ? Ok(lastFailure) : slot;
      const isQuotaStale =
        progress.admission !== undefined &&
        progress.attempts === 0 &&
        slot.val.waitedMilliseconds > QUOTA_VALID_MILLISECONDS;
      const quotaRefusal = isQuotaStale
        ? await this.takeQuota(progress)
        : undefined;
      const refusal = quotaRefusal ?? this.attempts.refuseToSend(progress);
      if (refusal) {
        slot.val.release();
        return Err(withRanSoFar(progress, refusal));
      }
      this.decisions.recordSlotTaken(progress, slot.val);
      const attempt = await this.attempts.makeAttempt(
        progress,
        slot.val,
        handover ? handoverStart(start, handover) : start,
        stream,
      );
      if (attempt.outcome === AttemptOutcome.ANSWERED) return Ok(attempt);
      handover =
        (await stream.takeHandover(false)) ?? (await handover?.takeFallback());
      if (handover) continue;
      if (attempt.outcome === AttemptOutcome.FAILED) lastFailure = attempt;
      const budget = {
        tryConsumeRetry: () =>
          this.attempts.tryConsumeRetry(progress, mayHaveRun(attempt.outcome)),
      };
      const {finalRefusal} = attempt.slot.target;
      if (finalRefusal) return Err(withRanSoFar(progress, finalRefusal));
      if (isRetryAllowed(progress, attempt.outcome, budget)) continue;
      if (lastFailure?.body) return Ok(lastFailure);
      return Err(failedAttemptRefusal(progress, attempt));
    }
  }

  /** Records where a stream began whose first event is about to be sent. */
  private recordOrigin(
    progress: RoutedRequestProgress,
    {slot}: AttemptResult,
  ): void {
    if (progress.origin) return;
    progress.origin = slot.target.origin;
    if (progress.isRelayed) return;
    this.options.streamOrigins.recordBegun(progress.request, progress.origin);
  }

  /** Records that the request is harmless, as an upstream has survived it. */
  private recordWholeAnswer(progress: RoutedRequestProgress): void {
    progress.isAnsweredWhole = true;
    this.options.poisonRequestDetector.recordSuccess(progress.fingerprint);
  }

  private createAnswer(
    progress: RoutedRequestProgress,
    attempt: AttemptResult,
    openStream: OpenStream,
    stopCancellation: () => void,
  ): ProxyAnswer {
    const {head, slot, body} = attempt;
    const common = {
      status: head?.status ?? 0,
      headers: head?.headers ?? [],
      upstreamId: slot.target.upstreamId,
      origin: slot.target.origin,
      attempts: progress.attempts,
    };
    if (body !== undefined || !head) {
      if (head) this.recordWholeAnswer(progress);
      this.decisions.recordEnd(progress, AnswerEnd.WHOLE, slot.target);
      return {...common, body: body ?? Buffer.alloc(0)};
    }
    progress.hasStreamBegun = true;
    const stream = new ProxyEventStream(progress, openStream, {
      resume: (start, handover) =>
        this.attemptUntilAnswered(progress, start, openStream, handover),
      takeUrgentPlace: () => this.handovers.takeUrgentPlace(openStream),
      tryConsumeRetry: () => this.attempts.tryConsumeRetry(progress, true),
      onFirstEvent: first => this.recordOrigin(progress, first),
      onResume: (reason, next) =>
        this.decisions.recordResume(progress, reason, next),
      onEnd: (end, {attempt: last, ...outcome}) => {
        stopCancellation();
        const {sinceFirstEventMilliseconds} = outcome.timing;
        if (sinceFirstEventMilliseconds !== undefined)
          this.options.streamTimes?.record(
            progress.request,
            sinceFirstEventMilliseconds,
            end === AnswerEnd.WHOLE && !progress.isContinuation,
          );
        if (end === AnswerEnd.WHOLE && head.isSelfDelimiting)
          this.recordWholeAnswer(progress);
        if (end === AnswerEnd.WHOLE && !progress.isRelayed)
          this.options.streamOrigins.recordComplete(progress.request);
        this.decisions.recordEnd(progress, end, last.slot.target, {
          ...outcome,
          otherStreams: this.handovers.openStreamCount,
        });
      },
    });
    return {...common, body: stream.readChunks(attempt)};
  }
}

/** The start of an attempt at the place that a stream is handed over to. */
function handoverStart(
  {resumeAfterEventId}: AttemptStart,
  {isUrgent, memoryLocation}: Handover,
): AttemptStart {
  return {resumeAfterEventId, isUrgent, memoryLocation};
}
