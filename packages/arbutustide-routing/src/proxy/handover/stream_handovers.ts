import type {Result} from 'ts-results';

import type {AnswerPeriod} from '../answer_period.js';
import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot, AttemptTarget} from '../attempt_target.js';
import type {StreamTimes} from '../proxy_dispatcher_options.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Handover} from './handover.js';
import type {HandoverInput} from './handover_decision.js';
import type {HandoverSummary} from './handover_tally.js';
import type {PlaceProvider} from './handover_places.js';
import type {MemoryMover} from './memory_mover.js';
import type {RunMove} from './run_moves.js';
import type {StreamReplacementsOptions} from './stream_replacements.js';

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
import {expectedStreamMilliseconds} from './can_still_end.js';
import {createHandover, takeNextHandover} from './handover.js';
import {HandoverPlaces} from './handover_places.js';
import {HandoverTally} from './handover_tally.js';
import {OpenStream} from './open_stream.js';
import {PlacesInStop} from './places_in_stop.js';
import {RunMoves} from './run_moves.js';
import {StreamReplacements} from './stream_replacements.js';

/** Why a node ends an attempt whose stream goes on at another place. */
const HANDED_OVER = 'the stream is handed over as this node stops';
const INACTIVE = 'its upstream was inactive';
const URGENT_TERMS = {reason: HANDED_OVER, isUrgent: true};

/** A handover that has begun, as it is logged and counted. */
export interface HandoverRecord {
  readonly action: HandoverAction;
  /** Where the stream is to go on; undefined if it is refused. */
  readonly target: AttemptTarget | undefined;
  readonly stalledMilliseconds: number;
  readonly leftMilliseconds: number;
}

/** What became of a move of memory, as it is logged and counted. */
export interface MoveRecord {
  readonly outcome: MemoryMoveOutcome;
  readonly reason: string | undefined;
  /** Time until the outcome was known. */
  readonly milliseconds: number;
  readonly target: AttemptTarget;
  /** Upstreams that were asked for room, in order. */
  readonly askedUpstreams: readonly ProxyUpstream[];
}

/** What handovers need of the dispatcher. */
export interface StreamHandoversOptions extends StreamReplacementsOptions {
  readonly answerPeriod: AnswerPeriod;
  /** Undefined if no upstream moves memory. */
  readonly memoryMover?: MemoryMover;
  readonly movesMemory?: (service: string) => boolean;
  readonly streamTimes?: Pick<StreamTimes, 'likelyMilliseconds'>;
  readonly attempts: StreamReplacementsOptions['attempts'] &
    PlaceProvider &
    Pick<AttemptMaker, 'tryTakeSlotAmong' | 'tryReservePlace'>;
  readonly onHandover: (
    progress: RoutedRequestProgress,
    record: HandoverRecord,
  ) => void;
  /** Called when a way to hand a stream over has failed for a new reason. */
  readonly onPlaceMissed: (
    progress: RoutedRequestProgress,
    action: HandoverAction,
    reason: StayReason,
  ) => void;
  readonly onMove: (
    progress: RoutedRequestProgress,
    record: MoveRecord,
  ) => void;
}

/** A handover that is to begin. */
interface DueHandover {
  readonly stream: OpenStream;
  readonly input: HandoverInput;
  /** Ways to hand it over, the best one first. */
  readonly ways: readonly HandoverAction[];
}

/** Where a stream is to go on, or why it stays. */
type HandoverStart = Result<AttemptTarget | undefined, StayReason>;

type HandoverStarter = (stream: OpenStream) => HandoverStart;

/**
 * Hands streams over to other upstreams: stalled ones of a node that stops, which
 * are cut if they are not complete when it ends, and those whose upstreams are
 * inactive. A stream keeps its place until another attempt goes on with it.
 */
export class StreamHandovers {
  private readonly streams = new Set<OpenStream>();
  private readonly tally = new HandoverTally();
  private readonly places: HandoverPlaces;
  private readonly placesInStop: PlacesInStop;
  private readonly replacements: StreamReplacements;
  /** Undefined if no upstream moves memory. */
  private readonly runMoves: RunMoves | undefined;
  private readonly starters: Readonly<Record<HandoverAction, HandoverStarter>> =
    {
      [HandoverAction.RESUME_ELSEWHERE]: stream =>
        this.startResuming(
          stream,
          this.options.attempts.tryTakeSlot(stream.progress),
        ),
      [HandoverAction.RESUME_URGENTLY]: stream =>
        this.startResuming(stream, this.places.takeAgain(stream)),
      [HandoverAction.RETURN_TO_EARLIER]: stream =>
        this.startResuming(stream, this.places.takeEarlier(stream)),
      [HandoverAction.MOVE_MEMORY]: stream => this.startMoving(stream),
      [HandoverAction.READMIT]: stream => this.startReadmitting(stream),
      [HandoverAction.REFUSE]: stream => {
        stream.refuse();
        return Ok(undefined);
      },
    };

  constructor(private readonly options: StreamHandoversOptions) {
    const {memoryMover, attempts} = options;
    this.places = new HandoverPlaces(attempts);
    this.placesInStop = new PlacesInStop(this.places, options.answerPeriod);
    this.replacements = new StreamReplacements(options);
    this.runMoves = memoryMover && new RunMoves(memoryMover, attempts);
  }

  /** Streams of this node that have not ended. */
  get openStreamCount(): number {
    return this.streams.size;
  }

  /** What was done for the streams of this node, and what is left of them. */
  get summary(): HandoverSummary {
    return this.tally.summarize(this.streams);
  }

  /** Tracks the answer to a request until it is closed, if it is a stream. */
  open(progress: RoutedRequestProgress): OpenStream {
    const timeline = new StreamTimeline(progress.request.arrivedAtMilliseconds);
    const stream: OpenStream = new OpenStream(progress, timeline, {
      onClose: () => this.streams.delete(stream),
      onInactive: () => this.replaceInactive(stream),
    });
    const {kind} = progress.request.route;
    if (kind === RequestKind.STREAM) this.streams.add(stream);
    return stream;
  }

  /**
   * Begins the handovers that are due now. Places and retries may not suffice for
   * all of them: the streams come first that were handed over least often, then
   * those that lose most if they are cut.
   */
  review(): void {
    const due: DueHandover[] = [];
    for (const stream of this.streams) {
      if (stream.isBeingHandedOver && !stream.awaitsInLine) continue;
      const input = this.createInput(stream);
      const decision = decideHandover(input);
      if (!decision.ok) stream.recordStayReason(decision.val);
      else if (stream.awaitsInLine && input.hasEvents)
        this.makeWayForUrgent(stream);
      else due.push({stream, input, ways: decision.val});
    }
    due.sort(
      ({stream: left}, {stream: right}) =>
        left.handoverCount - right.handoverCount ||
        right.eventCount - left.eventCount,
    );
    for (const handover of due) this.start(handover);
  }

  /** Gives up the attempt that waits in line, if an urgent one has its retry. */
  private makeWayForUrgent(stream: OpenStream): void {
    if (!this.options.attempts.tryConsumeRetry(stream.progress, true)) return;
    stream.reserveRetry();
    stream.withdrawReplacement('an urgent one is to be made');
  }

  private createInput(stream: OpenStream): HandoverInput {
    const {answerPeriod, movesMemory, streamTimes} = this.options;
    const {handoverInput, progress} = stream;
    const {request} = progress;
    const isStopping = answerPeriod.endsAtMilliseconds !== Infinity;
    return {
      ...handoverInput,
      isMovable:
        handoverInput.isMovable && Boolean(movesMemory?.(request.service)),
      leftMilliseconds: isStopping
        ? remainingForUpstream(progress, answerPeriod)
        : Infinity,
      expectedMilliseconds: handoverInput.hasEvents
        ? undefined
        : expectedStreamMilliseconds(progress, streamTimes),
    };
  }

  /** Begins the handover in the first way that is possible now. */
  private start({stream, input, ways}: DueHandover): void {
    const {stalledMilliseconds, leftMilliseconds} = input;
    for (const action of ways) {
      const started = this.starters[action](stream);
      if (!started.ok) {
        if (stream.recordMissedPlace(action, started.val))
          this.options.onPlaceMissed(stream.progress, action, started.val);
        // Each way needs a retry.
        if (started.val === StayReason.NO_RETRY_LEFT) return;
        continue;
      }
      this.tally.recordBegun(stream.progress.request.route.name, action);
      this.options.onHandover(stream.progress, {
        action,
        target: started.val,
        stalledMilliseconds,
        leftMilliseconds,
      });
      return;
    }
  }

  private startResuming(
    stream: OpenStream,
    slot: AttemptSlot | undefined,
  ): HandoverStart {
    const {upstream} = stream;
    if (!slot) return Err(StayReason.NO_UPSTREAM);
    if (!this.places.consumeRetry(stream, slot))
      return Err(StayReason.NO_RETRY_LEFT);
    stream.countHandover();
    this.replacements.begin(stream, {
      slot,
      reason: HANDED_OVER,
      isUrgent: true,
      takeNextSlot: () =>
        slot.target.upstream === upstream
          ? undefined
          : this.places.takeAgainWithRetry(stream),
    });
    return Ok(slot.target);
  }

  /**
   * Begins to replace an attempt whose upstream is inactive. Returns whether it
   * is to end at once: one whose answer has begun goes on until another has the
   * next event, any other one until the next has its place.
   */
  private replaceInactive(stream: OpenStream): boolean {
    const {progress} = stream;
    if (stream.isBeingHandedOver) return false;
    const slot = this.options.attempts.tryReservePlace(progress);
    if (!slot) return false;
    const isUrgent = this.options.answerPeriod.endsAtMilliseconds !== Infinity;
    const terms = {reason: INACTIVE, isUrgent, isAfterInactivity: true};
    if (!stream.isAnswered) {
      stream.handOver(createHandover({slot}, terms));
      return true;
    }
    stream.recordInactive();
    const takeNextSlot = () => undefined;
    this.replacements.begin(stream, {...terms, slot, takeNextSlot});
    return false;
  }

  /**
   * An urgent place, with its retry, for a stream of a node that stops and whose
   * attempt has broken off. Awaits one for as long as it could begin there.
   */
  takeUrgentPlace(stream: OpenStream): Promise<Handover | undefined> {
    return takeNextHandover(URGENT_TERMS, this.placesInStop.findUrgent(stream));
  }

  private startMoving(stream: OpenStream): HandoverStart {
    const {progress, upstream: source} = stream;
    const {attempts} = this.options;
    if (!source || !this.runMoves) return Err(StayReason.NOT_MOVABLE);
    const slot =
      attempts.tryTakeSlot(progress) ?? this.places.tryTakeEarlier(stream);
    if (!slot?.target.upstream) return Err(StayReason.NO_UPSTREAM);
    if (!this.places.consumeRetry(stream, slot))
      return Err(StayReason.NO_RETRY_LEFT);
    stream.countHandover();
    const move = this.runMoves.move(
      stream,
      source,
      slot,
      remainingForUpstream(progress, this.options.answerPeriod),
    );
    stream.handOver(this.awaitMove(stream, source, move));
    return Ok(slot.target);
  }

  /**
   * Stops a run whose memory nobody has room for. It goes on from its memory
   * where it is, as its upstream admits it before all that wait, or at the
   * upstream that had no room if there is some now.
   */
  private startReadmitting(stream: OpenStream): HandoverStart {
    const {progress, upstream: source, fullUpstream} = stream;
    if (!source || !fullUpstream || !this.runMoves)
      return Err(StayReason.NOT_MOVABLE);
    const slot = this.options.attempts.takeSlotAt(progress, fullUpstream);
    if (!this.places.consumeRetry(stream, slot))
      return Err(StayReason.NO_RETRY_LEFT);
    stream.countHandover();
    const left = remainingForUpstream(progress, this.options.answerPeriod);
    const move = this.runMoves.stop(stream, source, slot, left);
    stream.handOver(this.awaitMove(stream, source, move));
    return Ok(slot.target);
  }

  /** Resolves to undefined if the run stays at its upstream. */
  private async awaitMove(
    stream: OpenStream,
    source: ProxyUpstream,
    pending: Promise<RunMove>,
  ): Promise<Handover | undefined> {
    const {progress} = stream;
    const beganAtMilliseconds = performance.now();
    const {slot, move, copyLocation, askedUpstreams} = await pending;
    const {outcome, location, reason} = move;
    this.options.onMove(progress, {
      outcome,
      reason,
      milliseconds: performance.now() - beganAtMilliseconds,
      target: slot.target,
      askedUpstreams,
    });
    if (outcome === MemoryMoveOutcome.MOVED)
      return this.createMovedHandover(stream, slot, location, source);
    if (outcome === MemoryMoveOutcome.UNKNOWN && copyLocation !== undefined) {
      stream.recordUncertainMove({
        handover: this.createMovedHandover(stream, slot, copyLocation, source),
        giveUp: () => this.runMoves?.dropCopy(source, copyLocation),
      });
      return undefined;
    }
    slot.release();
    if (outcome === MemoryMoveOutcome.KEPT_AT_SOURCE) {
      const ownSlot = this.options.attempts.takeSlotAt(progress, source);
      return this.createMovedHandover(stream, ownSlot, location);
    }
    stream.recordMoveFailed(outcome, slot.target.upstream);
    // No attempt was made with it.
    stream.reserveRetry();
    return undefined;
  }

  /**
   * A handover of a run that has stopped, to be continued from its memory.
   *
   * @param source holds the memory too; undefined if the slot is there.
   */
  private createMovedHandover(
    stream: OpenStream,
    slot: AttemptSlot,
    memoryLocation: string | undefined,
    source?: ProxyUpstream,
  ): Handover {
    const {upstream} = slot.target;
    const holders = [upstream, source].filter(holder => holder !== undefined);
    const further = this.placesInStop.findForStoppedRun(stream, {
      memoryLocation,
      holders,
    });
    return createHandover({slot, memoryLocation}, URGENT_TERMS, further);
  }
}
