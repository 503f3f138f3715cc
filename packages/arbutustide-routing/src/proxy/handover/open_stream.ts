import type {AttemptSlot} from '../attempt_target.js';
import type {InactivityTimeout} from '../inactivity_timeout.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {StreamTimeline} from '../stream_timeline.js';
import type {HandoverInput} from './handover_decision.js';

import {CancelReason} from '../proxy_refusals.js';
import {StayReason} from './handover_decision.js';
import {MemoryMoveOutcome} from './memory_mover.js';

/** Where a stream goes on that is handed over. */
export interface Handover {
  readonly slot: AttemptSlot;
  /** Copy of memory that the run goes on from; undefined to read it anew. */
  readonly memoryLocation: string | undefined;
  /** Where the stream was, for when the other place does not take it. */
  readonly takeFallback: () => Handover | undefined;
}

/** Why a node ended an attempt whose stream goes on at another place. */
const HANDED_OVER = 'the stream is handed over as this node stops';

/** A stream that was sent to an upstream, and its handover if there is one. */
export class OpenStream {
  private lastStayReason: StayReason | undefined;
  private slot: AttemptSlot | undefined;
  private inactivityTimeout: InactivityTimeout | undefined;
  private handoverCount = 0;
  private isUrgent = false;
  private isMovable = true;
  private hasUncertainMove = false;
  private pending: Promise<Handover | undefined> | undefined;
  private isBetweenAttempts = false;

  constructor(
    readonly progress: RoutedRequestProgress,
    readonly timeline: StreamTimeline,
    private readonly onClose: () => void,
  ) {}

  /** Where it is; undefined at a peer. */
  get upstream(): ProxyUpstream | undefined {
    return this.slot?.target.upstream;
  }

  /** Why it was left where it is while it could have been handed over. */
  get stayReason(): StayReason | undefined {
    return this.lastStayReason;
  }

  get isBeingHandedOver(): boolean {
    return this.pending !== undefined || this.isBetweenAttempts;
  }

  /**
   * Whether an end of the attempt may come from a move of its memory whose
   * answer was lost.
   */
  get mayHaveMoved(): boolean {
    return this.hasUncertainMove;
  }

  get handoverInput(): Omit<
    HandoverInput,
    'leftMilliseconds' | 'expectedMilliseconds'
  > {
    const {progress, timeline, handoverCount, isUrgent} = this;
    return {
      route: progress.request.route,
      attempts: progress.attempts,
      handoverCount,
      isUrgent,
      hasEvents: timeline.hasEvents,
      isMovable: this.isMovable && this.upstream !== undefined,
      stalledMilliseconds: timeline.stalledMilliseconds,
      usualPauseMilliseconds: timeline.usualPauseMilliseconds,
    };
  }

  /** An attempt has begun that is to go on with the stream, or has its head. */
  beginAttempt(slot: AttemptSlot, inactivityTimeout: InactivityTimeout): void {
    this.slot = slot;
    this.inactivityTimeout = inactivityTimeout;
    this.isBetweenAttempts = false;
    this.timeline.recordWaiting();
  }

  /** The attempt has ended, and its stream does not go on from it. */
  endAttempt(): void {
    this.timeline.recordIdle();
  }

  /** Records that the next data of the upstream is awaited from now on. */
  recordWaiting(): void {
    this.timeline.recordWaiting();
  }

  /** Records that events have come, so that the run has not been stopped. */
  recordEvents(): void {
    this.timeline.recordEvents();
    this.hasUncertainMove = false;
  }

  /** Ends the attempt once it is certain that the stream goes on elsewhere. */
  handOver(handover: Handover | Promise<Handover | undefined>): void {
    const {inactivityTimeout} = this;
    this.handoverCount += 1;
    this.pending = Promise.resolve(handover).then(settled => {
      if (settled) inactivityTimeout?.abort(HANDED_OVER);
      else this.recordStayed();
      return settled;
    });
  }

  /** Refuses a stream that has not begun. */
  refuse(): void {
    this.progress.cancellation.cancel(CancelReason.STOPPING);
  }

  recordStayReason(reason: StayReason): void {
    const hasOther = this.lastStayReason !== undefined;
    if (reason !== StayReason.TOO_LATE || !hasOther)
      this.lastStayReason = reason;
  }

  recordMoveFailed(outcome: MemoryMoveOutcome): void {
    if (outcome !== MemoryMoveOutcome.BUSY) this.isMovable = false;
    if (outcome === MemoryMoveOutcome.UNKNOWN) this.hasUncertainMove = true;
  }

  /** Takes the handover; resolves to undefined if there is none. */
  async takeHandover(): Promise<Handover | undefined> {
    const handover = await this.pending;
    this.pending = undefined;
    this.isBetweenAttempts = handover !== undefined;
    if (handover) this.isUrgent = true;
    return handover;
  }

  /** Ends the tracking, and gives up a handover that was not taken. */
  close(): void {
    this.onClose();
    void this.pending?.then(handover => handover?.slot.release());
    this.pending = undefined;
  }

  private recordStayed(): void {
    this.pending = undefined;
    this.handoverCount -= 1;
  }
}
