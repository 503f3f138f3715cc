import type {ClaimStore, HeldClaim} from '@arbutustide/claims';
import type {Result} from 'ts-results';

import type {Admission} from './admission.js';
import type {Permit} from './concurrency_limiter.js';
import type {
  AttemptRunner,
  FailedAttempt,
  OpenAttempt,
} from './attempt_runner.js';
import type {CallerAnswer, CallerRequest} from './caller_request.js';
import type {ChoiceContext} from './choose_replica.js';
import type {RequestProgress} from './request_progress.js';
import type {RequestSuspects} from './request_suspects.js';
import type {RetryBudget} from './retry_budget.js';
import type {Replica, UpstreamDirectory} from './upstream_directory.js';

import {isIdempotent} from '@arbutustide/catalogue';
import {ClaimOutcome, requestDigest} from '@arbutustide/claims';
import {
  Cancellation,
  delay,
  ErrorKind,
  Ran,
  RefusalError,
} from '@arbutustide/errors';
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

/** How often a suspect looks for an upstream without another suspect. */
const SUSPECT_POLL_MILLISECONDS = 25;

/** Parts of a choice that stay the same for one node. */
export type ChoiceSettings = Omit<
  ChoiceContext,
  'serviceMilliseconds' | 'prefixDigest'
>;

/** Bounds of the attempts at one request. */
export interface DispatcherOptions {
  readonly choice: ChoiceSettings;
  readonly maximumAttempts: number;
  readonly retryBackoffMilliseconds: number;
  readonly budgetOf: (className: string) => RetryBudget;
  /** Called for each retry, for metrics. */
  readonly onRetry: (entryName: string) => void;
}

type DispatchResult = Promise<Result<CallerAnswer, RefusalError>>;

/** Takes a request from admission to its whole answer. */
export class Dispatcher {
  /** Work that outlives its request: outcomes still being recorded. */
  private readonly backgroundWork = new Set<Promise<void>>();

  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly admission: Admission,
    private readonly runner: AttemptRunner,
    private readonly suspects: RequestSuspects,
    private readonly claims: ClaimStore,
    private readonly options: DispatcherOptions,
  ) {}

  /** Answers a caller's request, or refuses it truthfully. */
  async dispatch(request: CallerRequest): DispatchResult {
    const fingerprint = requestFingerprint(request);
    if (this.suspects.isQuarantined(fingerprint)) {
      return Err(quarantineRefusal());
    }
    const arrivedAt = performance.now();
    const permit = await this.admission.acquire(request.entry, {
      priority: request.requestClass.priority,
      deadlineAtMilliseconds: request.deadlineAtMilliseconds,
      disconnection: request.presence,
    });
    if (!permit.ok) return permit;
    const queuedMilliseconds = performance.now() - arrivedAt;
    const answer = await this.runWithClaim(request, fingerprint, permit.val);
    if (!answer.ok) {
      permit.val.release();
      return answer;
    }
    return Ok({...answer.val, queuedMilliseconds});
  }

  /** Waits until every outcome is recorded. */
  async idle(): Promise<void> {
    while (this.backgroundWork.size > 0) await Promise.all(this.backgroundWork);
  }

  /** Claims the request if it carries a key, and runs it. */
  private async runWithClaim(
    request: CallerRequest,
    fingerprint: string,
    permit: Permit,
  ): DispatchResult {
    const {idempotencyKey} = request;
    if (idempotencyKey === undefined) {
      return this.run(request, fingerprint, permit, undefined);
    }
    const claim = await this.claims.claim({
      identity: {
        caller: request.caller,
        entry: request.entry.name,
        key: idempotencyKey,
      },
      requestDigest: requestDigest(request),
      requestId: request.requestId,
    });
    if (!claim.ok) return claim;
    if (claim.val.outcome === ClaimOutcome.REPLAY) {
      permit.release();
      return Ok(replayAnswer(claim.val.answer));
    }
    const {held: heldClaim} = claim.val;
    const answer = await this.run(request, fingerprint, permit, heldClaim);
    if (!answer.ok) this.settleClaimAfterRefusal(heldClaim, answer.val);
    return answer;
  }

  /** Runs the request and prepares its answer for the caller. */
  private async run(
    request: CallerRequest,
    fingerprint: string,
    permit: Permit,
    heldClaim: HeldClaim | undefined,
  ): DispatchResult {
    const progress: RequestProgress = {
      request,
      fingerprint,
      isRepeatable: isIdempotent(request.entry, request.method),
      cancel: new Cancellation(),
      attempts: 0,
      mayHaveRun: false,
      lastFailure: undefined,
    };
    const triggers = armCancelTriggers(progress);
    const startedAt = performance.now();
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
          performance.now() - startedAt,
        );
        if (heldClaim)
          this.settleClaimAfterAnswer(heldClaim, attempt.val, end, copy);
      },
      cancel: progress.cancel,
    });
    return Ok({
      status: attempt.val.status,
      contentType: attempt.val.contentType,
      upstreamId: attempt.val.replica.upstream.id,
      queuedMilliseconds: 0,
      lengthBytes: relay.lengthBytes,
      pieces: relay.chunks(),
    });
  }

  /** Tries replicas until one answers or no further try is allowed. */
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
    const {request, fingerprint, cancel} = progress;
    progress.attempts += 1;
    if (!this.suspects.isSuspect(fingerprint)) {
      return this.runner.open(replica, request, cancel);
    }
    const {upstream} = replica;
    upstream.suspectsInFlight += 1;
    this.suspects.setRunning(fingerprint, true);
    const outcome = await this.runner.open(replica, request, cancel);
    upstream.suspectsInFlight -= 1;
    this.suspects.setRunning(fingerprint, false);
    return outcome;
  }

  /** The next replica to try. */
  private async nextReplica(
    progress: RequestProgress,
  ): Promise<Result<Replica, RefusalError>> {
    const {request, fingerprint} = progress;
    if (this.suspects.isSuspect(fingerprint)) {
      return this.nextReplicaForSuspect(progress);
    }
    const ready = this.directory.readyReplicas(request.entry, request.item);
    if (ready.length === 0) return Err(noReplicaRefusal(progress));
    return Ok(this.chooseReplica(ready, progress));
  }

  /**
   * A suspect waits for a replica without another suspect, and until it would
   * not take the entry's last replica down.
   */
  private async nextReplicaForSuspect(
    progress: RequestProgress,
  ): Promise<Result<Replica, RefusalError>> {
    const {request, fingerprint, cancel} = progress;
    const {entry, item, deadlineAtMilliseconds} = request;
    const neededReplicaCount = Math.min(2, entry.minimumReplicas);
    while (performance.now() < deadlineAtMilliseconds) {
      if (this.suspects.isQuarantined(fingerprint)) break;
      if (cancel.isCancelled) break;
      const ready = this.directory.readyReplicas(entry, item);
      const withoutSuspects = ready.filter(
        ({upstream}) => upstream.suspectsInFlight === 0,
      );
      if (ready.length >= neededReplicaCount && withoutSuspects.length > 0) {
        return Ok(this.chooseReplica(withoutSuspects, progress));
      }
      await delay(SUSPECT_POLL_MILLISECONDS, cancel.signal);
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
    if (failed.isCrash) this.suspects.recordCrash(progress.fingerprint);
  }

  /** Why a failed attempt must not be followed by another, if so. */
  private retryRefusal(
    progress: RequestProgress,
    failed: FailedAttempt,
  ): RefusalError | undefined {
    const {request, isRepeatable} = progress;
    const isPastDeadline = performance.now() >= request.deadlineAtMilliseconds;
    if (isPastDeadline || progress.cancel.isCancelled) {
      return failureRefusal(progress, failed);
    }
    if (progress.mayHaveRun && !isRepeatable) {
      return failureRefusal(progress, failed);
    }
    if (progress.attempts >= this.options.maximumAttempts) {
      return failureRefusal(progress, failed);
    }
    if (!failed.error.mayHaveRun) return undefined;
    if (this.options.budgetOf(request.requestClass.name).tryTake()) {
      return undefined;
    }
    return new RefusalError(
      ErrorKind.RETRY_BUDGET_SPENT,
      `an attempt failed and no retry is left: ${failed.error.message}`,
      {ran: ranStatus(progress)},
    );
  }

  private async backOff(progress: RequestProgress): Promise<void> {
    const {retryBackoffMilliseconds, choice} = this.options;
    const maximumDelayMilliseconds =
      retryBackoffMilliseconds * 2 ** (progress.attempts - 1);
    await delay(
      maximumDelayMilliseconds * choice.random(),
      progress.cancel.signal,
    );
  }

  /** A request whose stream broke because its upstream went down is a suspect. */
  private async checkForCrash(
    {fingerprint}: RequestProgress,
    {replica, didCrash}: OpenAttempt,
  ): Promise<void> {
    if (!(await didCrash())) return;
    this.directory.markUnreachable(replica.upstream.id);
    this.suspects.recordCrash(fingerprint);
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
    this.options.budgetOf(request.requestClass.name).recordSuccess();
    this.suspects.recordSuccess(fingerprint);
  }

  private settleClaimAfterRefusal(
    heldClaim: HeldClaim,
    refusal: RefusalError,
  ): void {
    this.trackBackgroundWork(
      refusal.ran === Ran.NO
        ? this.claims.release(heldClaim)
        : this.claims.settleUnknown(heldClaim),
    );
  }

  private settleClaimAfterAnswer(
    heldClaim: HeldClaim,
    attempt: OpenAttempt,
    end: AnswerEnd,
    copy: Buffer | undefined,
  ): void {
    if (end !== AnswerEnd.WHOLE) {
      this.trackBackgroundWork(this.claims.settleUnknown(heldClaim));
      return;
    }
    const {status, contentType} = attempt;
    const answer = copy && {
      status,
      contentType,
      bodyBase64: copy.toString('base64'),
    };
    this.trackBackgroundWork(this.claims.settleDone(heldClaim, answer));
  }

  private trackBackgroundWork(work: Promise<void>): void {
    const tracked = work.finally(() => this.backgroundWork.delete(tracked));
    this.backgroundWork.add(tracked);
  }
}
