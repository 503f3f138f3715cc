import type {RefusalError} from '@arbutustide/errors';

import type {AttemptTrace} from './handover/attempt_trail.js';
import type {HandoverAction, StayReason} from './handover/handover_decision.js';
import type {HandoverRecord, MoveRecord} from './handover/stream_handovers.js';
import type {AttemptStart} from './proxy_connector.js';
import type {AttemptResult} from './run_attempt.js';
import type {RequestDecision} from './request_decision.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {StreamTiming} from './stream_timeline.js';
import type {AttemptSlot, AttemptTarget} from './attempt_target.js';

import {AnswerEnd} from '../caller_request.js';
import {AttemptOutcome} from './attempt_outcome.js';
import {hasRunStopped} from './handover/memory_mover.js';
import {DecisionStep} from './request_decision.js';
import {effectivePriority, sharedSegmentIds} from './routed_request.js';

/** What is recorded of a stream's end besides the kind of end. */
interface StreamOutcome {
  readonly timing?: StreamTiming;
  readonly eventCount?: number;
  /** Why its last attempt failed, if it did. */
  readonly reason?: string;
  /** Why it was not handed over, if this node stops. */
  readonly stayReason?: StayReason;
  readonly attemptTraces?: readonly AttemptTrace[];
  readonly replacementWaitMilliseconds?: number;
  readonly otherStreams?: number;
}

/** Reports each step of a request with the inputs that decided it. */
export class DecisionRecorder {
  constructor(
    private readonly onDecision: (decision: RequestDecision) => void,
  ) {}

  recordSlotTaken(progress: RoutedRequestProgress, slot: AttemptSlot): void {
    const {target, waitedMilliseconds} = slot;
    const {modelRequest, lastEventId, resumedRequestId} = progress.request;
    this.recordDecision(progress, {
      step: DecisionStep.PLACED,
      ...(modelRequest && {sharedSegments: sharedSegmentIds(modelRequest)}),
      ...(lastEventId !== undefined && {lastEventId}),
      ...(resumedRequestId !== undefined && {resumedRequestId}),
      ...target.decisionFields,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      unreadMilliseconds: Math.round(progress.request.unreadMilliseconds),
    });
  }

  recordAttempt(
    progress: RoutedRequestProgress,
    attempt: AttemptResult,
    {memoryLocation}: AttemptStart,
  ): void {
    if (attempt.outcome === AttemptOutcome.ANSWERED) return;
    this.recordDecision(progress, {
      step: DecisionStep.ATTEMPT_ENDED,
      ...attempt.slot.target.decisionFields,
      outcome: attempt.outcome,
      ...(memoryLocation !== undefined && {isFromMemory: true}),
      attempts: progress.attempts,
      attemptMilliseconds: Math.round(
        performance.now() - attempt.beganAtMilliseconds,
      ),
      ...(attempt.head && {status: attempt.head.status}),
      ...(attempt.error && {reason: attempt.error.message}),
    });
  }

  recordResume(
    progress: RoutedRequestProgress,
    reason: string,
    next: AttemptResult | undefined,
  ): void {
    this.recordDecision(progress, {
      step: DecisionStep.STREAM_RESUMED,
      reason,
      attempts: progress.attempts,
      ...next?.slot.target.decisionFields,
    });
  }

  recordRefusal(progress: RoutedRequestProgress, refusal: RefusalError): void {
    this.recordDecision(progress, {
      step: DecisionStep.REFUSED,
      kind: refusal.kind,
      ran: refusal.ran,
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      reason: refusal.message,
      elapsedMilliseconds: millisecondsSinceArrival(progress),
      unreadMilliseconds: Math.round(progress.request.unreadMilliseconds),
    });
  }

  recordEnd(
    progress: RoutedRequestProgress,
    end: AnswerEnd,
    target: AttemptTarget,
    outcome: StreamOutcome = {},
  ): void {
    const {timing, eventCount, reason, stayReason} = outcome;
    const firstEvent = timing?.firstEventMilliseconds;
    const sinceLastEvent = timing?.sinceLastEventMilliseconds;
    const isWhole = end === AnswerEnd.WHOLE;
    this.recordDecision(progress, {
      step: DecisionStep.ENDED,
      end,
      ...target.decisionFields,
      ...(firstEvent !== undefined && {
        firstEventMilliseconds: Math.round(firstEvent),
      }),
      ...(timing && {
        longestPauseMilliseconds: Math.round(timing.longestPauseMilliseconds),
      }),
      ...(!isWhole && {
        eventCount,
        priority: effectivePriority(progress.request),
        triedUpstreams: [...progress.triedUpstreams].map(({id}) => id),
      }),
      ...(!isWhole &&
        sinceLastEvent !== undefined && {
          sinceLastEventMilliseconds: Math.round(sinceLastEvent),
        }),
      attempts: progress.attempts,
      elapsedMilliseconds: millisecondsSinceArrival(progress),
      ...(reason && {reason}),
      ...(!isWhole && stayReason && {stayReason}),
      ...(end === AnswerEnd.BROKEN && describeBreak(outcome)),
    });
  }

  recordHandover(
    progress: RoutedRequestProgress,
    {action, target, stalledMilliseconds, leftMilliseconds}: HandoverRecord,
  ): void {
    this.recordDecision(progress, {
      step: DecisionStep.HANDOVER,
      action,
      ...target?.decisionFields,
      attempts: progress.attempts,
      stalledMilliseconds: Math.round(stalledMilliseconds),
      leftMilliseconds: Math.round(leftMilliseconds),
    });
  }

  recordPlaceMissed(
    progress: RoutedRequestProgress,
    action: HandoverAction,
    stayReason: StayReason,
  ): void {
    this.recordDecision(progress, {
      step: DecisionStep.PLACE_MISSED,
      action,
      stayReason,
    });
  }

  recordMove(
    progress: RoutedRequestProgress,
    {outcome, reason, milliseconds, target, askedUpstreams}: MoveRecord,
  ): void {
    this.recordDecision(progress, {
      step: hasRunStopped(outcome)
        ? DecisionStep.MEMORY_MOVED
        : DecisionStep.MOVE_FAILED,
      ...target.decisionFields,
      moveOutcome: outcome,
      moveMilliseconds: Math.round(milliseconds),
      askedUpstreams: askedUpstreams.map(({id}) => id),
      ...(reason && {reason}),
    });
  }

  recordReplacementFailed(
    progress: RoutedRequestProgress,
    target: AttemptTarget,
    reason: string,
  ): void {
    this.recordDecision(progress, {
      step: DecisionStep.REPLACEMENT_FAILED,
      ...target.decisionFields,
      attempts: progress.attempts,
      reason,
    });
  }

  private recordDecision(
    {request}: RoutedRequestProgress,
    decision: Omit<
      RequestDecision,
      'requestId' | 'route' | 'service' | 'configurationVersion'
    >,
  ): void {
    const {
      requestId,
      route,
      service,
      configurationVersion,
      modelRequest,
      team,
    } = request;
    this.onDecision({
      requestId,
      route: route.name,
      service,
      configurationVersion,
      ...(team && {team: team.name}),
      ...(modelRequest && {model: modelRequest.model}),
      ...decision,
    });
  }
}

/** What a stream that broke off had been sent to, and what it waited for. */
function describeBreak({
  attemptTraces,
  replacementWaitMilliseconds: waited,
  otherStreams,
}: StreamOutcome): Partial<RequestDecision> {
  return {
    attemptTraces,
    otherStreams,
    ...(waited !== undefined && {
      replacementWaitMilliseconds: Math.round(waited),
    }),
  };
}

function millisecondsSinceArrival({request}: RoutedRequestProgress): number {
  return Math.round(performance.now() - request.arrivedAtMilliseconds);
}
