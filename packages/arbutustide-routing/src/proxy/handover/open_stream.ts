import type {AttemptFollower} from '../attempt_maker.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {InactivityTimeout} from '../inactivity_timeout.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {StreamTimeline} from '../stream_timeline.js';
import type {AttemptTrace} from './attempt_trail.js';
import type {Handover} from './handover.js';
import type {HandoverAction, HandoverInput} from './handover_decision.js';
import type {ReplacementAttempt} from './replacement_attempt.js';
import type {UncertainMove} from './stream_moves.js';

import {CancelReason} from '../proxy_refusals.js';
import {mayReachFurtherUpstream} from '../routed_request_progress.js';
import {AttemptTrail} from './attempt_trail.js';
import {StayReason} from './handover_decision.js';
import {MemoryMoveOutcome} from './memory_mover.js';
import {StreamMoves} from './stream_moves.js';

/** What a stream needs of the handovers of its node. */
export interface OpenStreamOptions {
  readonly onClose: () => void;
  /**
   * Called when an upstream is inactive. Returns whether the attempt is to end
   * at once, as the next one has its place and its retry.
   */
  readonly onInactive: () => boolean;
}

/** How far a stream has come. */
interface EventCount {
  readonly lastEventId: number | undefined;
  readonly passedCount: number;
}

/** A stream that was sent to an upstream, and its handover if there is one. */
export class OpenStream implements AttemptFollower {
  private readonly trail: AttemptTrail;
  private readonly moves = new StreamMoves();
  private readonly missedPlaces = new Set<string>();
  private lastStayReason: StayReason | undefined;
  private slot: AttemptSlot | undefined;
  private inactivityTimeout: InactivityTimeout | undefined;
  private handoversBegun = 0;
  private replacementFailedAtMilliseconds = -Infinity;
  private isUrgent = false;
  private pending: Promise<Handover | undefined> | undefined;
  private replacement: ReplacementAttempt | undefined;
  private failedReplacementWaitMilliseconds: number | undefined;
  private isBetweenAttempts = false;
  private isBeingRead = false;
  private hasEnded = false;
  private hasReservedRetry = false;
  private latestEventId: number | undefined;
  private passedEvents = 0;

  constructor(
    readonly progress: RoutedRequestProgress,
    readonly timeline: StreamTimeline,
    private readonly options: OpenStreamOptions,
  ) {
    this.trail = new AttemptTrail(progress.request.arrivedAtMilliseconds);
  }

  /** Where it is; undefined at a peer. */
  get upstream(): ProxyUpstream | undefined {
    return this.slot?.target.upstream;
  }

  /** One that had no room for its memory when asked since its last event. */
  get fullUpstream(): ProxyUpstream | undefined {
    return this.moves.fullUpstream;
  }

  /** Why it was left where it is while it could have been handed over. */
  get stayReason(): StayReason | undefined {
    return this.lastStayReason;
  }

  /** Where it has been sent, replacements included. */
  get attemptTraces(): readonly AttemptTrace[] {
    return this.trail.traces;
  }

  /** How long the last replacement waited in vain; undefined if none did. */
  get replacementWaitMilliseconds(): number | undefined {
    return this.isReplacementAwaited
      ? this.replacement?.waitedMilliseconds
      : this.failedReplacementWaitMilliseconds;
  }

  get isBeingHandedOver(): boolean {
    return this.pending !== undefined || this.isBetweenAttempts;
  }

  /** Whether the head of its answer has come, so that its events are awaited. */
  get isAnswered(): boolean {
    return this.isBeingRead;
  }

  /** Id of the last event that its caller has; undefined if it has none. */
  get lastEventId(): number | undefined {
    return this.latestEventId ?? this.progress.request.lastEventId;
  }

  /** Number of events that its caller has from this node. */
  get eventCount(): number {
    return this.passedEvents;
  }

  /** Number of its handovers by a node that stops. */
  get handoverCount(): number {
    return this.handoversBegun;
  }

  /** Whether its upstream was told to serve it before all other requests. */
  get isMostUrgent(): boolean {
    return this.isUrgent;
  }

  /** Whether another attempt goes on with it, so that this one must not. */
  get isReplaced(): boolean {
    return this.replacement?.goesOn ?? false;
  }

  /** Whether it awaits an attempt that others are served before. */
  get awaitsInLine(): boolean {
    return this.isReplacementAwaited && this.replacement?.isUrgent === false;
  }

  /** Whether another attempt has begun and may yet go on with it. */
  get isReplacementAwaited(): boolean {
    return this.replacement !== undefined && !this.isReplaced;
  }

  /**
   * Whether an end of the attempt may come from a move of its memory whose
   * answer was lost.
   */
  get mayHaveMoved(): boolean {
    return this.moves.mayHaveMoved;
  }

  get handoverInput(): Omit<
    HandoverInput,
    'leftMilliseconds' | 'expectedMilliseconds'
  > {
    const {progress, timeline, isUrgent, upstream} = this;
    return {
      route: progress.request.route,
      mayReachFurther: mayReachFurtherUpstream(progress),
      isUrgent,
      hasEarlierUpstream: [...progress.triedUpstreams].some(
        tried => tried !== upstream,
      ),
      hasEvents: timeline.hasEvents,
      isMovable: upstream !== undefined,
      sinceMoveFailedMilliseconds: this.moves.sinceFailedMilliseconds,
      hasFoundNoRoom: this.moves.fullUpstream !== undefined,
      stalledMilliseconds: Math.min(
        timeline.stalledMilliseconds,
        performance.now() - this.replacementFailedAtMilliseconds,
      ),
      usualPauseMilliseconds: timeline.usualPauseMilliseconds,
      longestUsualPauseMilliseconds: timeline.longestUsualPauseMilliseconds,
      hasKnownPace: timeline.hasKnownPace,
    };
  }

  /** An attempt has begun that is to go on with the stream. */
  beginAttempt(slot: AttemptSlot, inactivityTimeout: InactivityTimeout): void {
    this.recordSent(slot, this.isUrgent);
    this.follow(slot, inactivityTimeout);
    this.isBeingRead = false;
  }

  /** The head of the attempt's answer has come, and its events are read. */
  beginReading(slot: AttemptSlot, inactivityTimeout: InactivityTimeout): void {
    this.follow(slot, inactivityTimeout);
    this.isBeingRead = true;
  }

  /** Records an attempt that is to go on with the stream, or may replace it. */
  recordSent({target}: AttemptSlot, isUrgent: boolean): void {
    this.trail.record(target, isUrgent);
  }

  /** The attempt has ended, and its stream does not go on from it. */
  endAttempt(): void {
    this.timeline.recordIdle();
  }

  /** The attempt has broken off, and the next one is being placed. */
  recordBrokenOff(): void {
    this.isBetweenAttempts = true;
    this.timeline.recordHandedOver();
    this.timeline.recordIdle();
  }

  onInactive(): boolean {
    return this.options.onInactive();
  }

  /** Records that the upstream of the attempt was inactive. */
  recordInactive(): void {
    this.slot?.target.recordBrokenStream(this.progress, true);
  }

  /** Records that the next data of the upstream is awaited from now on. */
  recordWaiting(): void {
    this.timeline.recordWaiting();
  }

  /**
   * Records that events have come, so that the run has not been stopped and
   * needs no replacement.
   */
  recordEvents({lastEventId, passedCount}: EventCount): void {
    this.latestEventId = lastEventId;
    this.passedEvents = passedCount;
    this.timeline.recordEvents();
    this.failedReplacementWaitMilliseconds = undefined;
    this.moves.recordEvents();
    this.withdrawReplacement('the stream went on where it was');
  }

  /** Records that the attempt has ended, and the stream with it. */
  recordWhole(): void {
    this.withdrawReplacement('the stream ended where it was');
  }

  /**
   * Ends the attempt once the handover is settled, if there is one.
   *
   * @param replacement the attempt that the handover waits for, if it does.
   */
  handOver(
    handover: Handover | Promise<Handover | undefined>,
    replacement?: ReplacementAttempt,
  ): void {
    const {inactivityTimeout} = this;
    this.replacement = replacement;
    this.pending = Promise.resolve(handover).then(settled => {
      if (settled) inactivityTimeout?.abort(settled.reason);
      else this.recordStayed();
      return settled;
    });
  }

  /** Records that a retry was consumed for its next attempt. */
  reserveRetry(): void {
    this.hasReservedRetry = true;
  }

  /** Whether a retry was reserved; it is no more. */
  takeReservedRetry(): boolean {
    const hasReserved = this.hasReservedRetry;
    this.hasReservedRetry = false;
    return hasReserved;
  }

  /** Counts a handover of a node that stops. */
  countHandover(): void {
    this.handoversBegun += 1;
  }

  /** Gives up the attempt that is awaited, for the stream to be handed over. */
  withdrawReplacement(reason: string): void {
    this.replacement?.withdraw(reason);
  }

  /** Records that a replacement goes to another place than it was to. */
  changeReplacement(replacement: ReplacementAttempt): void {
    this.replacement = replacement;
  }

  /**
   * Records that an urgent attempt, or a move, failed to replace this one. The
   * next one waits for as long as the first: upstreams that refuse at once would
   * use up the retries of all streams.
   */
  recordReplacementFailed(): void {
    this.replacementFailedAtMilliseconds = performance.now();
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

  /**
   * Records that a way to hand it over had no place. Returns whether that is the
   * first time for this reason.
   */
  recordMissedPlace(action: HandoverAction, reason: StayReason): boolean {
    this.recordStayReason(reason);
    const name = `${action} ${reason}`;
    const isNew = !this.missedPlaces.has(name);
    this.missedPlaces.add(name);
    return isNew;
  }

  /**
   * Records that the run goes on where it is, or may have stopped.
   *
   * @param target the last upstream that was asked for room.
   */
  recordMoveFailed(outcome: MemoryMoveOutcome, target?: ProxyUpstream): void {
    if (outcome === MemoryMoveOutcome.BUSY) this.recordReplacementFailed();
    this.moves.recordFailed(outcome, target);
    this.handoversBegun -= 1;
  }

  /** Records a move after which the run may have stopped. */
  recordUncertainMove(move: UncertainMove): void {
    this.recordMoveFailed(MemoryMoveOutcome.UNKNOWN);
    this.moves.recordUncertain(move);
  }

  /**
   * Takes the handover; resolves to undefined if there is none.
   *
   * @param hasBrokenOff whether the attempt has ended before its stream, so that
   *     a run which may have been stopped for a move was stopped.
   */
  async takeHandover(hasBrokenOff: boolean): Promise<Handover | undefined> {
    if (hasBrokenOff && this.moves.hasUsableCopy)
      this.withdrawReplacement('the stream goes on from a copy');
    const settled = await this.pending;
    const handover =
      settled ?? (hasBrokenOff ? this.moves.takeUncertain() : undefined);
    this.moves.giveUpUncertain();
    this.pending = undefined;
    this.replacement = undefined;
    this.isBetweenAttempts = handover !== undefined;
    if (handover) this.timeline.recordHandedOver();
    if (handover?.isUrgent) this.isUrgent = true;
    return handover;
  }

  /** Whether its answer has ended. */
  get isClosed(): boolean {
    return this.hasEnded;
  }

  /** Ends the tracking, and gives up a handover that was not taken. */
  close(): void {
    this.hasEnded = true;
    this.options.onClose();
    this.withdrawReplacement('the stream was given up');
    this.moves.giveUpUncertain();
    void this.pending?.then(handover => handover?.release());
    this.pending = undefined;
    this.replacement = undefined;
  }

  private follow(
    slot: AttemptSlot,
    inactivityTimeout: InactivityTimeout,
  ): void {
    this.slot = slot;
    this.inactivityTimeout = inactivityTimeout;
    this.isBetweenAttempts = false;
    this.timeline.recordWaiting();
  }

  private recordStayed(): void {
    const {replacement} = this;
    if (replacement && !replacement.isWithdrawn)
      this.failedReplacementWaitMilliseconds = replacement.waitedMilliseconds;
    this.pending = undefined;
    this.replacement = undefined;
  }
}
