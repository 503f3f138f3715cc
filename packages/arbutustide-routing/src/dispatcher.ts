import type {ClaimStore, HeldClaim} from '@arbutustide/claims';
import type {Result} from 'ts-results';

import type {AdmissionController} from './admission_controller.js';
import type {Permit} from './concurrency_limiter.js';
import type {
  AttemptRunner,
  FailedAttempt,
  OpenAttempt,
} from './attempt_runner.js';
import type {CallerAnswer, CallerRequest} from './caller_request.js';
import type {ReplicaChoiceContext} from './choose_replica.js';
import type {RequestProgress} from './request_progress.js';
import type {PoisonRequestDetector} from './poison_request_detector.js';
import type {RetryBudget} from './retry_budget.js';
import type {Replica, UpstreamDirectory} from './upstream_directory.js';

import {isIdempotent} from '@arbutustide/catalogue';
import {ClaimOutcome, computeRequestDigest} from '@arbutustide/claims';
import {
  Cancellation,
  delay,
  ErrorKind,
  ExecutionStatus,
  RefusalError,
} from '@arbutustide/errors';
import {AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {AnswerRelay} from './answer_relay.js';
import {AnswerEnd} from './caller_request.js';
import {armCancelTriggers} from './cancel_triggers.js';
import {chooseReplicas} from './choose_replica.js';
import {
  crashRefusal,
  deadlineRefusal,
  failureRefusal,
  noReplicaRefusal,
  quarantineRefusal,
} from './dispatch_refusals.js';
import {replayAnswer} from './replay_answer.js';
import {requestFingerprint} from './request_fingerprint.js';
import {ranStatus} from './request_progress.js';

/** Interval at which a suspect polls for an upstream without a suspect. */
const SUSPECT_POLL_MILLISECONDS = 25;

/** Inputs to the choice of a replica that are constant for one node. */
export type ReplicaChoiceSettings = Omit<
  ReplicaChoiceContext,
  'serviceMilliseconds' | 'prefixDigest'
>;

/** Limits on the attempts at one request. */
export interface DispatcherOptions {
  readonly choice: ReplicaChoiceSettings;
  readonly maximumAttempts: number;
  /** Upper bound of the first retry's delay; doubles with each attempt. */
  readonly retryBackoffMilliseconds: number;
  /** Retry budget of a request class. */
  readonly retryBudgetFor: (className: string) => RetryBudget;
  /** Called for each retry, for metrics. */
  readonly onRetry: (entryName: string) => void;
}

type DispatchResult = Promise<Result<CallerAnswer, RefusalError>>;

/**
 * Handles a request from admission to the end of its answer: claims its
 * idempotency key, chooses replicas, retries, and records the outcome.
 */
export class Dispatcher {
  /** Recording of outcomes that continues after the answer has ended. */
  private readonly backgroundWork = new Set<Promise<void>>();

  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly admission: AdmissionController,
    private readonly runner: AttemptRunner,
    private readonly poisonDetector: PoisonRequestDetector,
    private readonly claims: ClaimStore,
    private readonly options: DispatcherOptions,
  ) {}

  /** Answers a request, or refuses it and states whether it may have run. */
  async dispatch(request: CallerRequest): DispatchResult {
    const fingerprint = requestFingerprint(request);
    if (this.poisonDetector.isQuarantined(fingerprint)) {
      return Err(quarantineRefusal());
    }
    const arrivedAtMilliseconds = performance.now();
    const permit = await this.admission.acquire(request.entry, {
      priority: request.requestClass.priority,
      deadlineAtMilliseconds: request.deadlineAtMilliseconds,
      disconnection: request.disconnection,
    });
    if (!permit.ok) return permit;
    const queuedMilliseconds = performance.now() - arrivedAtMilliseconds;
    const answer = await this.runWithClaim(request, fingerprint, permit.val);
    if (!answer.ok) {
      permit.val.release();
      return answer;
    }
    return Ok({...answer.val, queuedMilliseconds});
  }

  /** Waits until all outcomes are recorded. */
  async waitUntilIdle(): Promise<void> {
    while (this.backgroundWork.size > 0) await Promise.all(this.backgroundWork);
  }

  /**
   * Runs the request. A request with an idempotency key is claimed first; if
   * it has already run, its stored answer is replayed.
   */
  private async runWithClaim(
    request: CallerRequest,
    fingerprint: string,
    permit: Permit,
  ): DispatchResult {
    const {idempotencyKey} = request;
    if (idempotencyKey === undefined) {
      return this.runRequest(request, fingerprint, permit, undefined);
    }
    const claim = await this.claims.claim({
      identity: {
        caller: request.caller,
        entry: request.entry.name,
        key: idempotencyKey,
      },
      requestDigest: computeRequestDigest(request),
      requestId: request.requestId,
    });
    if (!claim.ok) return claim;
    if (claim.val.outcome === ClaimOutcome.REPLAY) {
      permit.release();
      return Ok(replayAnswer(claim.val.answer));
    }
    const {held: heldClaim} = claim.val;
    const answer = await this.runRequest(
      request,
      fingerprint,
      permit,
      heldClaim,
    );
    if (!answer.ok) this.settleClaimAfterRefusal(heldClaim, answer.val);
    return answer;
  }

  /** Runs the request and returns the answer to relay to the caller. */
  private async runRequest(
    request: CallerRequest,
    fingerprint: string,
    permit: Permit,
    heldClaim: HeldClaim | undefined,
  ): DispatchResult {
    const progress: RequestProgress = {
      request,
      fingerprint,
      isRepeatable: isIdempotent(request.entry, request.method),
      cancellation: new Cancellation(),
      attemptCount: 0,
      mayHaveRun: false,
      lastFailure: undefined,
    };
    const triggers = armCancelTriggers(progress);
    const startedAtMilliseconds = performance.now();
    const attempt = await this.attemptUntilOpen(progress);
    if (!attempt.ok) {
      triggers.disarm();
      return attempt;
    }
    if (attempt.val.events) triggers.disarmDeadline();
    const relay = new AnswerRelay(attempt.val, {
      keepsCopy: heldClaim !== undefined,
      onEnd: (end, copy) => {
        triggers.disarm();
        attempt.val.release();
        permit.release();
        this.recordEnd(
          progress,
          attempt.val,
          end,
          performance.now() - startedAtMilliseconds,
        );
        if (heldClaim)
          this.settleClaimAfterAnswer(heldClaim, attempt.val, end, copy);
      },
      cancellation: progress.cancellation,
    });
    return Ok({
      status: attempt.val.status,
      contentType: attempt.val.contentType,
      upstreamId: attempt.val.replica.upstream.id,
      queuedMilliseconds: 0,
      lengthBytes: relay.lengthBytes,
      chunks: relay.chunks(),
    });
  }

  /** Tries replicas until one answers or no further attempt is allowed. */
  private async attemptUntilOpen(
    progress: RequestProgress,
  ): Promise<Result<OpenAttempt, RefusalError>> {
    for (;;) {
      const replica = await this.nextReplica(progress);
      if (!replica.ok) return replica;
      if (performance.now() >= progress.request.deadlineAtMilliseconds) {
        return Err(deadlineRefusal(progress));
      }
      const outcome = await this.attempt(progress, replica.val);
      if (outcome.ok) return outcome;
      this.recordFailure(progress, outcome.val);
      const refusal = this.retryRefusal(progress, outcome.val);
      if (refusal) return Err(refusal);
      this.options.onRetry(progress.request.entry.name);
      await this.backOff(progress);
    }
  }

  private async attempt(progress: RequestProgress, replica: Replica) {
    const {request, fingerprint, cancellation} = progress;
    progress.attemptCount += 1;
    if (!this.poisonDetector.isSuspect(fingerprint)) {
      return this.runner.open(replica, request, cancellation);
    }
    const {upstream} = replica;
    upstream.suspectsInFlight += 1;
    this.poisonDetector.setRunning(fingerprint, true);
    const outcome = await this.runner.open(replica, request, cancellation);
    upstream.suspectsInFlight -= 1;
    this.poisonDetector.setRunning(fingerprint, false);
    return outcome;
  }

  private async nextReplica(
    progress: RequestProgress,
  ): Promise<Result<Replica, RefusalError>> {
    const {request, fingerprint} = progress;
    if (this.poisonDetector.isSuspect(fingerprint)) {
      return this.nextReplicaForSuspect(progress);
    }
    const ready = this.directory.readyReplicas(request.entry, request.item);
    if (ready.length === 0) return Err(noReplicaRefusal(progress));
    return Ok(this.chooseReplica(ready, progress));
  }

  /**
   * Waits for a replica that runs no other suspect, so that a crash has a
   * single suspect, and for enough ready replicas that a crash would not take
   * down the entry's last one.
   */
  private async nextReplicaForSuspect(
    progress: RequestProgress,
  ): Promise<Result<Replica, RefusalError>> {
    const {request, fingerprint, cancellation} = progress;
    const {entry, item, deadlineAtMilliseconds} = request;
    const neededReplicaCount = Math.min(2, entry.minimumReplicas);
    while (performance.now() < deadlineAtMilliseconds) {
      if (this.poisonDetector.isQuarantined(fingerprint)) break;
      if (cancellation.isCancelled) break;
      const ready = this.directory.readyReplicas(entry, item);
      const withoutSuspects = ready.filter(
        ({upstream}) => upstream.suspectsInFlight === 0,
      );
      if (ready.length >= neededReplicaCount && withoutSuspects.length > 0) {
        return Ok(this.chooseReplica(withoutSuspects, progress));
      }
      await delay(SUSPECT_POLL_MILLISECONDS, cancellation.signal);
    }
    return Err(crashRefusal(progress));
  }

  private chooseReplica(
    ready: readonly Replica[],
    progress: RequestProgress,
  ): Replica {
    const {request, lastFailure} = progress;
    const otherReplicas = ready.filter(
      ({upstream}) => upstream !== lastFailure?.replica.upstream,
    );
    const choices = chooseReplicas(
      otherReplicas.length > 0 ? otherReplicas : ready,
      {
        ...this.options.choice,
        serviceMilliseconds: this.admission.serviceMilliseconds(request.entry),
        prefixDigest: request.prefixDigest,
      },
    );
    return choices.next().value ?? ready[0];
  }

  private recordFailure(
    progress: RequestProgress,
    failed: FailedAttempt,
  ): void {
    progress.lastFailure = failed;
    if (failed.error.mayHaveRun && !failed.isRejected)
      progress.mayHaveRun = true;
    if (failed.isCrash) this.poisonDetector.recordCrash(progress.fingerprint);
  }

  /** The refusal if a failed attempt must not be retried. */
  private retryRefusal(
    progress: RequestProgress,
    failed: FailedAttempt,
  ): RefusalError | undefined {
    const {request, isRepeatable} = progress;
    const isLate = performance.now() >= request.deadlineAtMilliseconds;
    if (isLate || progress.cancellation.isCancelled) {
      return failureRefusal(progress, failed);
    }
    const isUnwanted = failed.error.failure === AttemptFailure.NOT_SENT;
    if (isUnwanted || (progress.mayHaveRun && !isRepeatable))
      return failureRefusal(progress, failed);
    if (progress.attemptCount >= this.options.maximumAttempts)
      return failureRefusal(progress, failed);
    if (!failed.error.mayHaveRun) return undefined;
    if (this.options.retryBudgetFor(request.requestClass.name).tryConsume()) {
      return undefined;
    }
    return new RefusalError(
      ErrorKind.RETRY_BUDGET_SPENT,
      `an attempt failed, the retry budget is spent: ${failed.error.message}`,
      {ran: ranStatus(progress)},
    );
  }

  /** Waits for an exponential delay with full jitter. */
  private async backOff(progress: RequestProgress): Promise<void> {
    const {retryBackoffMilliseconds, choice} = this.options;
    const maximumDelayMilliseconds =
      retryBackoffMilliseconds * 2 ** (progress.attemptCount - 1);
    await delay(
      maximumDelayMilliseconds * choice.random(),
      progress.cancellation.signal,
    );
  }

  /** Records a crash if the stream broke because its upstream crashed. */
  private async checkForCrash(
    {fingerprint}: RequestProgress,
    {replica, didCrash}: OpenAttempt,
  ): Promise<void> {
    if (!(await didCrash())) return;
    this.directory.markUnreachable(replica.upstream.id);
    this.poisonDetector.recordCrash(fingerprint);
  }

  private recordEnd(
    progress: RequestProgress,
    attempt: OpenAttempt,
    end: AnswerEnd,
    milliseconds: number,
  ): void {
    const {request, fingerprint} = progress;
    if (end === AnswerEnd.BROKEN) {
      this.trackBackgroundWork(this.checkForCrash(progress, attempt));
    }
    if (end !== AnswerEnd.WHOLE) return;
    this.admission.recordServiceTime(request.entry, milliseconds);
    this.options.retryBudgetFor(request.requestClass.name).recordSuccess();
    this.poisonDetector.recordSuccess(fingerprint);
  }

  private settleClaimAfterRefusal(
    heldClaim: HeldClaim,
    refusal: RefusalError,
  ): void {
    this.trackBackgroundWork(
      refusal.ran === ExecutionStatus.NOT_EXECUTED
        ? this.claims.release(heldClaim)
        : this.claims.recordOutcomeUnknown(heldClaim),
    );
  }

  private settleClaimAfterAnswer(
    heldClaim: HeldClaim,
    attempt: OpenAttempt,
    end: AnswerEnd,
    copy: Buffer | undefined,
  ): void {
    if (end !== AnswerEnd.WHOLE) {
      this.trackBackgroundWork(this.claims.recordOutcomeUnknown(heldClaim));
      return;
    }
    const {status, contentType} = attempt;
    const answer = copy && {
      status,
      contentType,
      bodyBase64: copy.toString('base64'),
    };
    this.trackBackgroundWork(this.claims.recordDone(heldClaim, answer));
  }

  private trackBackgroundWork(work: Promise<void>): void {
    const tracked = work.finally(() => this.backgroundWork.delete(tracked));
    this.backgroundWork.add(tracked);
  }
}
