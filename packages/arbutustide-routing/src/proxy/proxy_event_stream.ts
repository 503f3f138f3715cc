import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {StayReason} from './handover/handover_decision.js';
import type {AttemptTrace} from './handover/attempt_trail.js';
import type {Handover} from './handover/handover.js';
import type {OpenStream} from './handover/open_stream.js';
import type {AttemptStart} from './proxy_connector.js';
import type {AttemptResult} from './run_attempt.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {StreamTiming} from './stream_timeline.js';

import {AnswerEnd} from '../caller_request.js';
import {AttemptOutcome} from './attempt_outcome.js';
import {EventSequencer} from './event_sequencer.js';
import {isRepeatable} from './route.js';
import {mayReachFurtherUpstream} from './routed_request_progress.js';

/** Callbacks of a stream to the dispatcher. */
export interface ProxyEventStreamOptions {
  /**
   * Makes an attempt at another upstream that continues after the event.
   *
   * @param handover where it is handed over to; undefined after a failure.
   */
  readonly resume: (
    start: AttemptStart,
    handover: Handover | undefined,
  ) => Promise<Result<AttemptResult, RefusalError>>;
  /**
   * An urgent place for a stream of a node that stops, whose attempt has broken
   * off; undefined if there is none.
   */
  readonly takeUrgentPlace: () => Promise<Handover | undefined>;
  /** Consumes one retry of the cluster-wide budget; false if none is left. */
  readonly tryConsumeRetry: () => boolean;
  /** Called before the caller gets its first event of the stream. */
  readonly onFirstEvent: (attempt: AttemptResult) => void;
  readonly onResume: (reason: string, next: AttemptResult | undefined) => void;
  readonly onEnd: (end: AnswerEnd, state: StreamEndState) => void;
}

/** What is known of a stream when it ends. */
export interface StreamEndState {
  /** The attempt that ended it. */
  readonly attempt: AttemptResult;
  readonly timing: StreamTiming;
  /** Number of events that were passed on. */
  readonly eventCount: number;
  /** Why the last attempt failed, if it did. */
  readonly reason: string | undefined;
  /** Why it was not handed over, if this node stops. */
  readonly stayReason: StayReason | undefined;
  /** Where it was sent, replacements included. */
  readonly attemptTraces: readonly AttemptTrace[];
  /** How long the last replacement waited in vain; undefined if none did. */
  readonly replacementWaitMilliseconds: number | undefined;
}

/** Why an attempt ended before its stream was complete. */
interface SegmentFailure {
  readonly reason: string;
  /** Where the stream goes on; undefined unless this node ended the attempt. */
  readonly handover?: Handover;
}

/** By how much the clock of an upstream may be ahead within an attempt. */
const CLOCK_TOLERANCE_MILLISECONDS = 2;

/** Whether the upstream was to have ended its work before the deadline. */
function isOverdue({dueAtMilliseconds, isCurtailed}: AttemptResult): boolean {
  const endsAt = dueAtMilliseconds - CLOCK_TOLERANCE_MILLISECONDS;
  return isCurtailed && performance.now() >= endsAt;
}

/** Forwards an event stream, resumed at other upstreams after failures. */
export class ProxyEventStream {
  private readonly eventSequencer: EventSequencer;

  constructor(
    private readonly progress: RoutedRequestProgress,
    private readonly openStream: OpenStream,
    private readonly options: ProxyEventStreamOptions,
  ) {
    this.eventSequencer = new EventSequencer(progress.request.lastEventId);
  }

  /** Yields chunks of complete events; returns how the stream ended. */
  async *readChunks(
    first: AttemptResult,
  ): AsyncGenerator<Uint8Array, AnswerEnd, undefined> {
    let end = AnswerEnd.ABANDONED;
    let latest = first;
    let attempt: AttemptResult | undefined = first;
    let failure: SegmentFailure | undefined;
    try {
      while (attempt) {
        latest = attempt;
        failure = yield* this.readSegment(attempt, attempt !== first);
        end = failure ? AnswerEnd.BROKEN : AnswerEnd.WHOLE;
        attempt = failure && (await this.resume(failure));
      }
      return end;
    } finally {
      const {openStream} = this;
      const {replacementWaitMilliseconds} = openStream;
      openStream.close();
      this.options.onEnd(end, {
        attempt: latest,
        timing: openStream.timeline.timing,
        eventCount: this.eventSequencer.passedCount,
        reason: failure?.reason,
        stayReason: openStream.stayReason,
        attemptTraces: openStream.attemptTraces,
        replacementWaitMilliseconds,
      });
    }
  }

  /** Yields the events of one attempt; returns why it failed, if it did. */
  private async *readSegment(
    attempt: AttemptResult,
    isResumed: boolean,
  ): AsyncGenerator<Uint8Array, SegmentFailure | undefined, undefined> {
    this.eventSequencer.beginAttempt();
    this.openStream.beginReading(attempt.slot, attempt.inactivityTimeout);
    let isWhole = false;
    try {
      for await (const chunk of attempt.head?.body ?? []) {
        if (this.openStream.isReplaced) break;
        const {bytes, problem} = this.eventSequencer.push(chunk);
        if (bytes) {
          // Bytes that complete no new event are no progress.
          attempt.inactivityTimeout.recordActivity();
          attempt.observed?.recordData();
          if (!this.openStream.timeline.hasEvents)
            this.options.onFirstEvent(attempt);
          this.openStream.recordEvents(this.eventSequencer);
          this.progress.lastDeliveryAtMilliseconds = performance.now();
          attempt.inactivityTimeout.suspend();
          yield bytes;
          attempt.inactivityTimeout.resume();
          this.openStream.recordWaiting();
        }
        if (problem) {
          const reason = `event cannot follow: ${problem}`;
          return (await this.findHandover(attempt)) ?? {reason};
        }
      }
      const reason = this.findProblem(attempt, isResumed);
      const {isReplacementAwaited, mayHaveMoved} = this.openStream;
      const isKept =
        isReplacementAwaited && !mayHaveMoved && reason === undefined;
      if (isKept) this.openStream.recordWhole();
      const handedOver = isKept
        ? undefined
        : await this.findHandover(attempt, !attempt.head?.isSelfDelimiting);
      if (handedOver) return handedOver;
      if (reason !== undefined) {
        if (!isOverdue(attempt)) attempt.observed?.recordBroken();
        return {reason};
      }
      if (attempt.head?.isSelfDelimiting) attempt.observed?.recordWhole();
      else attempt.observed?.recordBroken(false);
      isWhole = !isResumed;
      return undefined;
    } catch (error) {
      const isBrokenOff = this.openStream.isReplacementAwaited;
      if (isBrokenOff) this.recordBroken(attempt);
      const handedOver = await this.findHandover(attempt, true);
      if (handedOver) return handedOver;
      if (!isBrokenOff) this.recordBroken(attempt);
      return {reason: String(error)};
    } finally {
      attempt.observed?.recordCancelled();
      attempt.inactivityTimeout.stop();
      attempt.slot.release(isWhole);
    }
  }

  /**
   * The end of an attempt whose stream goes on elsewhere, or may have to.
   *
   * @param hasBrokenOff whether it may have ended before its stream, as one does
   *     whose answer ends with its connection.
   */
  private async findHandover(
    {observed}: AttemptResult,
    hasBrokenOff = false,
  ): Promise<SegmentFailure | undefined> {
    const handover = await this.openStream.takeHandover(hasBrokenOff);
    if (handover?.isAfterInactivity) observed?.recordBroken();
    if (handover) return {reason: handover.reason, handover};
    if (!this.openStream.mayHaveMoved) return undefined;
    return {reason: 'its memory may have been moved'};
  }

  /** Records that the upstream has broken off, if its time was not over. */
  private recordBroken(attempt: AttemptResult): void {
    if (this.progress.cancellation.isCancelled || isOverdue(attempt)) return;
    attempt.slot.target.recordBrokenStream(this.progress, false);
    attempt.observed?.recordBroken();
  }

  /** Why a stream that ended without an error is no answer, if so. */
  private findProblem(
    attempt: AttemptResult,
    isResumed: boolean,
  ): string | undefined {
    // An upstream whose time is over may end what it has not completed.
    return isOverdue(attempt)
      ? 'the time to answer is over'
      : this.findTruncation(attempt, isResumed);
  }

  /** Why a stream that ended without an error is incomplete, if it is. */
  private findTruncation(
    {head}: AttemptResult,
    isResumed: boolean,
  ): string | undefined {
    const {hasPartialEvent, hasEventOfAttempt} = this.eventSequencer;
    if (hasPartialEvent) return 'the stream ended within an event';
    if (hasEventOfAttempt) return undefined;
    // Nothing shows that a stream which broke off had reached its end. A caller
    // that resumes it itself gets the word of the upstream.
    if (isResumed) return 'the stream did not go on after it was resumed';
    // Its end is the end of the connection, which a crash may have caused.
    if (!head?.isSelfDelimiting) return 'the stream ended without an event';
    return undefined;
  }

  /** Resumes the stream in another attempt, if a retry is allowed. */
  private async resume(
    failure: SegmentFailure,
  ): Promise<AttemptResult | undefined> {
    const {reason} = failure;
    if (failure.handover?.attempt) {
      this.options.onResume(reason, failure.handover.attempt);
      return failure.handover.attempt;
    }
    this.openStream.recordBrokenOff();
    const handover = failure.handover ?? (await this.takeUrgentPlace());
    const isAllowed =
      handover !== undefined ||
      (this.mayWaitForPlace() && this.options.tryConsumeRetry());
    if (!isAllowed) return undefined;
    const resumeAfterEventId = this.eventSequencer.lastEventId;
    const next = await this.options.resume({resumeAfterEventId}, handover);
    const attempt = next.ok ? next.val : undefined;
    const isStream =
      attempt?.outcome === AttemptOutcome.ANSWERED &&
      attempt.body === undefined;
    const resumed = isStream ? attempt : undefined;
    this.options.onResume(reason, resumed);
    return resumed;
  }

  private get isResumable(): boolean {
    const {request, cancellation} = this.progress;
    return isRepeatable(request.route) && !cancellation.isCancelled;
  }

  private async takeUrgentPlace(): Promise<Handover | undefined> {
    return this.isResumable ? this.options.takeUrgentPlace() : undefined;
  }

  /** Whether the stream may wait for a place at one more upstream. */
  private mayWaitForPlace(): boolean {
    return this.isResumable && mayReachFurtherUpstream(this.progress);
  }
}
