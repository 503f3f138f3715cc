import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AttemptSlot, AttemptSlotResult} from './attempt_target.js';
import type {AttemptResult} from './run_attempt.js';
import type {ProxyAnswer} from './proxy_answer.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {ProxyDispatcherOptions} from './proxy_dispatcher_options.js';
import type {RelayedProgress} from './relay/request_relay.js';
import type {SlotQueue} from './slot_queue.js';
import type {RoutedRequest} from './routed_request.js';

import {Cancellation, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../caller_request.js';
import {ENDLESS_ANSWER_PERIOD} from './answer_period.js';
import {quarantineRefusal} from '../dispatch_refusals.js';
import {AttemptOutcome, mayHaveRun, isRetryAllowed} from './attempt_outcome.js';
import {AnswerMemory} from './answer_memory.js';
import {awaitFirstEvent} from './first_event.js';
import {runAttempt} from './run_attempt.js';
import {DecisionRecorder} from './decision_recorder.js';
import {cancelOnTriggers, untilCancelled} from './request_cancellation.js';
import {
  ranSoFar,
  remainingForUpstream,
  remainingMilliseconds,
} from './routed_request_progress.js';
import {
  cancelledRefusal,
  CancelReason,
  failedAttemptRefusal,
  unknownOriginRefusal,
  withRanSoFar,
} from './proxy_refusals.js';
import {ProxyEventStream} from './proxy_event_stream.js';
import {isRepeatable} from './route.js';
import {fingerprintRoutedRequest} from './routed_request.js';
import {InactivityTimeout} from './inactivity_timeout.js';
import {PeerTarget} from './relay/peer_target.js';
import {UpstreamTarget} from './upstream_target.js';
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
  private readonly answerMemory = new AnswerMemory();
  private readonly shutdown = new Cancellation();

  constructor(
    private readonly queue: SlotQueue,
    private readonly options: ProxyDispatcherOptions,
  ) {
    this.decisions = new DecisionRecorder(options.onDecision);
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
    const attempt = await this.admitAndAttempt(
      progress,
      relayed?.resumeAfterEventId,
    );
    const isOver = !attempt.ok || attempt.val.body !== undefined;
    if (isOver) stopCancellation();
    if (!attempt.ok) {
      this.decisions.recordRefusal(progress, attempt.val);
      return attempt;
    }
    const answer = this.createAnswer(progress, attempt.val, stopCancellation);
    return awaitFirstEvent(progress, answer);
  }

  /**
   * Refuses all requests, those that wait and those to come, and breaks off the
   * streams that have begun. Called when this node stops and its time is up.
   */
  giveUp(): void {
    this.queue.close();
    this.shutdown.cancel(CancelReason.STOPPING);
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

  /**
   * Admits the request, unless a peer has done so, and attempts it. What it
   * took of its team's quota is given back if it has certainly not run.
   */
  private async admitAndAttempt(
    progress: RoutedRequestProgress,
    resumeAfterEventId: number | undefined,
  ): AttemptOrRefusal {
    const originRefusal = await this.resolveOrigin(progress);
    if (originRefusal) return Err(originRefusal);
    const quotaRefusal = progress.isRelayed
      ? undefined
      : await this.takeQuota(progress);
    if (quotaRefusal) return Err(quotaRefusal);
    const attempt = await this.attemptUntilAnswered(
      progress,
      resumeAfterEventId,
    );
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
   */
  private async attemptUntilAnswered(
    progress: RoutedRequestProgress,
    resumeAfterEventId: number | undefined,
  ): AttemptOrRefusal {
    let lastFailure: AttemptResult | undefined;
    for (;;) {
      const slot = await this.acquireSlot(progress);
      if (!slot.ok) return lastFailure?.body ? Ok(lastFailure) : slot;
      // The quarantine may have begun while the request was queued.
      if (this.options.poisonSegmentDetector.isQuarantined(progress.request)) {
        slot.val.release();
        return Err(quarantineRefusal(ranSoFar(progress)));
      }
      const isQuotaStale =
        progress.admission !== undefined &&
        progress.attempts === 0 &&
        slot.val.waitedMilliseconds > QUOTA_VALID_MILLISECONDS;
      const gateRefusal =
        (isQuotaStale ? await this.takeQuota(progress) : undefined) ??
        this.options.gate.check(progress.request);
      if (gateRefusal) {
        slot.val.release();
        return Err(withRanSoFar(progress, gateRefusal));
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
      const {finalRefusal} = attempt.slot.target;
      if (finalRefusal) return Err(withRanSoFar(progress, finalRefusal));
      if (isRetryAllowed(progress, attempt.outcome, budget)) continue;
      if (lastFailure?.body) return Ok(lastFailure);
      return Err(failedAttemptRefusal(progress, attempt));
    }
  }

  /** A slot at an upstream or, if none can be reached, a place at a peer. */
  private async acquireSlot(
    progress: RoutedRequestProgress,
  ): Promise<AttemptSlotResult> {
    if (progress.cancellation.isCancelled)
      return Err(withRanSoFar(progress, cancelledRefusal(progress)));
    const slot = await this.queue.acquireSlot(progress);
    if (slot.ok) {
      const {upstream, admission} = slot.val;
      const target = new UpstreamTarget(upstream, admission, this.options);
      return Ok({...slot.val, target});
    }
    if (slot.val.kind !== ErrorKind.UPSTREAM_UNREACHABLE) return slot;
    const {relay} = this.options;
    const peer = relay.choosePeer(progress);
    if (!peer) return slot;
    const target = new PeerTarget(peer, progress.request.service, relay);
    return Ok({target, waitedMilliseconds: 0, release: () => {}});
  }

  private async makeAttempt(
    progress: RoutedRequestProgress,
    slot: AttemptSlot,
    resumeAfterEventId: number | undefined,
  ): Promise<AttemptResult> {
    const {target} = slot;
    target.recordChosen(progress);
    progress.attempts += 1;
    const tryReserveReplacement = () => this.tryReserveReplacement(progress);
    const inactivityTimeout = new InactivityTimeout(
      progress,
      target,
      tryReserveReplacement,
    );
    const {answerPeriod} = this.options;
    const remaining = remainingForUpstream(progress, answerPeriod);
    const context = {
      slot,
      inactivityTimeout,
      observed: target.observe(progress.request),
      resumeAfterEventId,
      beganAtMilliseconds: performance.now(),
      answerMemory: this.answerMemory,
      dueAtMilliseconds: performance.now() + remaining,
      isCurtailed:
        remaining < remainingForUpstream(progress, ENDLESS_ANSWER_PERIOD),
    };
    const attempt = await runAttempt(progress, context);
    const isOpen = attempt.body === undefined && attempt.error === undefined;
    if (!isOpen) slot.release(attempt.outcome === AttemptOutcome.ANSWERED);
    if (mayHaveRun(attempt.outcome)) progress.mayHaveRun = true;
    // A request that was never sent does not count against maximumAttempts.
    if (attempt.outcome === AttemptOutcome.NOT_CONNECTED)
      progress.attempts -= 1;
    target.recordAttempt(progress, attempt);
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
      this.canPlace(progress) &&
      this.options.tryConsumeRetry(service)
    );
  }

  /** Whether another attempt could begin now, here or at a peer. */
  private canPlace(progress: RoutedRequestProgress): boolean {
    if (this.queue.hasFreeSlot(progress)) return true;
    return (
      this.queue.isUnreachable(progress) &&
      this.options.relay.choosePeer(progress) !== undefined
    );
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
    const stream = new ProxyEventStream(progress, {
      resume: after => this.attemptUntilAnswered(progress, after),
      tryConsumeRetry: () => this.tryConsumeRetry(progress, true),
      onFirstEvent: first => this.recordOrigin(progress, first),
      onResume: (reason, next) =>
        this.decisions.recordResume(progress, reason, next),
      onEnd: (end, {attempt: last, timing, eventCount, reason}) => {
        stopCancellation();
        if (end === AnswerEnd.WHOLE && head.isSelfDelimiting)
          this.recordWholeAnswer(progress);
        if (end === AnswerEnd.WHOLE && !progress.isRelayed)
          this.options.streamOrigins.recordComplete(progress.request);
        this.decisions.recordEnd(progress, end, last.slot.target, {
          timing,
          eventCount,
          reason,
        });
      },
    });
    return {...common, body: stream.readChunks(attempt)};
  }
}
