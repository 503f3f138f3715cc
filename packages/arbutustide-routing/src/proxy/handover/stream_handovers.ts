import type {Result} from 'ts-results';

import type {AnswerPeriod} from '../answer_period.js';
import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot, AttemptTarget} from '../attempt_target.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequest} from '../routed_request.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {MemoryMove, MemoryMover} from './memory_mover.js';
import type {Handover} from './open_stream.js';

import {Err, Ok} from 'ts-results';

import {RequestKind} from '../route.js';
import {remainingForUpstream} from '../routed_request_progress.js';
import {StreamTimeline} from '../stream_timeline.js';
import {
  decideHandover,
  HandoverAction,
  StayReason,
} from './handover_decision.js';
import {MemoryMoveOutcome} from './memory_mover.js';
import {OpenStream} from './open_stream.js';

/** A handover that has begun, as it is logged and counted. */
export interface HandoverRecord {
  readonly action: HandoverAction;
  /** Where the stream is to go on; undefined if it is refused. */
  readonly target: AttemptTarget | undefined;
  readonly stalledMilliseconds: number;
  readonly leftMilliseconds: number;
}

/** What handovers need of the dispatcher. */
export interface StreamHandoversOptions {
  readonly answerPeriod: AnswerPeriod;
  /** Undefined if no upstream moves memory. */
  readonly memoryMover?: MemoryMover;
  readonly movesMemory?: (service: string) => boolean;
  readonly longestMilliseconds?: (request: RoutedRequest) => number | undefined;
  readonly attempts: Pick<
    AttemptMaker,
    'tryTakeSlot' | 'takeSlotAt' | 'tryConsumeRetry'
  >;
  readonly onHandover: (
    progress: RoutedRequestProgress,
    record: HandoverRecord,
  ) => void;
  readonly onMoveFailed: (
    progress: RoutedRequestProgress,
    reason: string,
  ) => void;
}

/** Where a stream is to go on, or why it stays. */
type HandoverStart = Result<AttemptTarget | undefined, StayReason>;

type HandoverStarter = (stream: OpenStream) => HandoverStart;

/**
 * Hands stalled streams of a node that stops over to other upstreams. A stream
 * that is not complete when the node ends is cut.
 */
export class StreamHandovers {
  private readonly streams = new Set<OpenStream>();
  private readonly starters: Readonly<Record<HandoverAction, HandoverStarter>> =
    {
      [HandoverAction.RESUME_ELSEWHERE]: stream =>
        this.startResuming(
          stream,
          this.options.attempts.tryTakeSlot(stream.progress) ??
            this.takeSlotAgain(stream),
        ),
      [HandoverAction.RESUME_URGENTLY]: stream =>
        this.startResuming(stream, this.takeSlotAgain(stream)),
      [HandoverAction.MOVE_MEMORY]: stream => this.startMoving(stream),
      [HandoverAction.REFUSE]: stream => {
        stream.refuse();
        return Ok(undefined);
      },
    };

  constructor(private readonly options: StreamHandoversOptions) {}

  /** Tracks the answer to a request until it is closed, if it is a stream. */
  open(progress: RoutedRequestProgress): OpenStream {
    const timeline = new StreamTimeline(progress.request.arrivedAtMilliseconds);
    const stream: OpenStream = new OpenStream(progress, timeline, () =>
      this.streams.delete(stream),
    );
    const {kind} = progress.request.route;
    if (kind === RequestKind.STREAM) this.streams.add(stream);
    return stream;
  }

  /** Begins the handovers that are due now. */
  review(): void {
    for (const stream of this.streams) {
      if (stream.isBeingHandedOver) continue;
      const stayReason = this.reviewStream(stream);
      if (stayReason) stream.recordStayReason(stayReason);
    }
  }

  private reviewStream(stream: OpenStream): StayReason | undefined {
    const {answerPeriod} = this.options;
    const isStopping = answerPeriod.endsAtMilliseconds !== Infinity;
    const leftMilliseconds = isStopping
      ? remainingForUpstream(stream.progress, answerPeriod)
      : Infinity;
    const {handoverInput} = stream;
    const {request} = stream.progress;
    const {movesMemory, longestMilliseconds} = this.options;
    const input = {
      ...handoverInput,
      isMovable:
        handoverInput.isMovable && Boolean(movesMemory?.(request.service)),
      leftMilliseconds,
      expectedMilliseconds: handoverInput.hasEvents
        ? undefined
        : longestMilliseconds?.(request),
    };
    const decision = decideHandover(input);
    if (!isAction(decision)) return decision;
    const started = this.starters[decision](stream);
    if (!started.ok) return started.val;
    const {stalledMilliseconds} = input;
    this.options.onHandover(stream.progress, {
      action: decision,
      target: started.val,
      stalledMilliseconds,
      leftMilliseconds,
    });
    return undefined;
  }

  private startResuming(
    stream: OpenStream,
    slot: AttemptSlot | undefined,
  ): HandoverStart {
    const {progress, upstream} = stream;
    if (!slot) return Err(StayReason.NO_UPSTREAM);
    if (!this.consumeRetry(progress, slot))
      return Err(StayReason.NO_RETRY_LEFT);
    stream.handOver(this.createHandover(progress, slot, upstream));
    return Ok(slot.target);
  }

  private startMoving(stream: OpenStream): HandoverStart {
    const {progress, upstream: source} = stream;
    const {memoryMover, attempts} = this.options;
    if (!source || !memoryMover) return Err(StayReason.NOT_MOVABLE);
    const slot = attempts.tryTakeSlot(progress);
    const target = slot?.target.upstream;
    if (!slot || !target) return Err(StayReason.NO_UPSTREAM);
    if (!this.consumeRetry(progress, slot))
      return Err(StayReason.NO_RETRY_LEFT);
    const {requestId} = progress.request;
    const move = memoryMover.moveMemory(source, target, requestId);
    stream.handOver(this.awaitMove(stream, source, slot, move));
    return Ok(slot.target);
  }

  /** Resolves to undefined if the run stays at its upstream. */
  private async awaitMove(
    stream: OpenStream,
    source: ProxyUpstream,
    slot: AttemptSlot,
    move: Promise<MemoryMove>,
  ): Promise<Handover | undefined> {
    const {progress} = stream;
    const {outcome, location, reason = outcome} = await move;
    if (outcome === MemoryMoveOutcome.MOVED)
      return this.createHandover(progress, slot, source, location);
    slot.release();
    if (outcome === MemoryMoveOutcome.KEPT_AT_SOURCE) {
      const ownSlot = this.options.attempts.takeSlotAt(progress, source);
      return this.createHandover(progress, ownSlot, undefined, location);
    }
    stream.recordMoveFailed(outcome);
    this.options.onMoveFailed(progress, reason);
    return undefined;
  }

  /** @param fallback upstream that takes the stream if the slot's does not. */
  private createHandover(
    progress: RoutedRequestProgress,
    slot: AttemptSlot,
    fallback: ProxyUpstream | undefined,
    memoryLocation?: string,
  ): Handover {
    const hasFallback = fallback && fallback !== slot.target.upstream;
    return {
      slot,
      memoryLocation,
      takeFallback: () => {
        if (!hasFallback) return undefined;
        const ownSlot = this.options.attempts.takeSlotAt(progress, fallback);
        return this.createHandover(
          progress,
          ownSlot,
          undefined,
          memoryLocation,
        );
      },
    };
  }

  /** A slot where the stream is, unless it is urgent there or at a peer. */
  private takeSlotAgain({
    progress,
    upstream,
    handoverInput,
  }: OpenStream): AttemptSlot | undefined {
    if (!upstream || handoverInput.isUrgent) return undefined;
    return this.options.attempts.takeSlotAt(progress, upstream);
  }

  /** Consumes a retry of the budget; returns the slot if there is none. */
  private consumeRetry(
    progress: RoutedRequestProgress,
    slot: AttemptSlot,
  ): boolean {
    if (this.options.attempts.tryConsumeRetry(progress, true)) return true;
    slot.release();
    return false;
  }
}

const ACTIONS: ReadonlySet<string> = new Set(Object.values(HandoverAction));

function isAction(
  decision: HandoverAction | StayReason,
): decision is HandoverAction {
  return ACTIONS.has(decision);
}
