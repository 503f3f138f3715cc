import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AttemptResult} from './run_attempt.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';

import {AnswerEnd} from '../caller_request.js';
import {AttemptOutcome} from './attempt_outcome.js';
import {EventSequencer} from './event_sequencer.js';
import {isRepeatable} from './route.js';

/** Callbacks of a stream to the dispatcher. */
export interface ProxyEventStreamOptions {
  /** Makes an attempt at another upstream that continues after the event. */
  readonly resume: (
    after: number | undefined,
  ) => Promise<Result<AttemptResult, RefusalError>>;
  /** Consumes one retry of the cluster-wide budget; false if none is left. */
  readonly tryConsumeRetry: () => boolean;
  /** Called before the caller gets its first event of the stream. */
  readonly onFirstEvent: (attempt: AttemptResult) => void;
  readonly onResume: (reason: string, next: AttemptResult | undefined) => void;
  /** `reason` is why the last attempt failed, if it did. */
  readonly onEnd: (
    end: AnswerEnd,
    timing: StreamTiming,
    reason: string | undefined,
  ) => void;
}

/** Timing of a stream's events, in milliseconds. */
export interface StreamTiming {
  /** From the request's arrival to the first event; undefined if none came. */
  readonly firstEventMilliseconds: number | undefined;
  readonly longestPauseMilliseconds: number;
}

/** Why an attempt ended before its stream was complete. */
interface SegmentFailure {
  readonly reason: string;
  /** Whether it ended by inactivity timeout, which has consumed the retry. */
  readonly wasInactive?: boolean;
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
  private firstEventAtMilliseconds: number | undefined;
  private lastEventAtMilliseconds = 0;
  private longestPauseMilliseconds = 0;

  constructor(
    private readonly progress: RoutedRequestProgress,
    private readonly options: ProxyEventStreamOptions,
  ) {
    this.eventSequencer = new EventSequencer(progress.request.lastEventId);
  }

  /** Yields chunks of complete events; returns how the stream ended. */
  async *readChunks(
    first: AttemptResult,
  ): AsyncGenerator<Uint8Array, AnswerEnd, undefined> {
    let end = AnswerEnd.ABANDONED;
    let attempt: AttemptResult | undefined = first;
    let failure: SegmentFailure | undefined;
    try {
      while (attempt) {
        failure = yield* this.readSegment(attempt, attempt !== first);
        end = failure ? AnswerEnd.BROKEN : AnswerEnd.WHOLE;
        attempt = failure && (await this.resume(failure));
      }
      return end;
    } finally {
      this.options.onEnd(end, this.timing(), failure?.reason);
    }
  }

  /** Yields the events of one attempt; returns why it failed, if it did. */
  private async *readSegment(
    attempt: AttemptResult,
    isResumed: boolean,
  ): AsyncGenerator<Uint8Array, SegmentFailure | undefined, undefined> {
    this.eventSequencer.beginAttempt();
    let isWhole = false;
    try {
      for await (const chunk of attempt.head?.body ?? []) {
        const {bytes, problem} = this.eventSequencer.push(chunk);
        if (bytes) {
          // Bytes that complete no new event are no progress.
          attempt.inactivityTimeout.recordActivity();
          attempt.observed?.recordData();
          if (this.firstEventAtMilliseconds === undefined)
            this.options.onFirstEvent(attempt);
          this.recordDelivery();
          yield bytes;
        }
        if (problem) return {reason: `event cannot follow: ${problem}`};
      }
      // An upstream whose time is over may end what it has not completed.
      if (isOverdue(attempt)) return {reason: 'the time to answer is over'};
      const reason = this.findTruncation(attempt, isResumed);
      if (reason !== undefined) {
        attempt.observed?.recordBroken();
        return {reason};
      }
      if (attempt.head?.isSelfDelimiting) attempt.observed?.recordWhole();
      else attempt.observed?.recordBroken(false);
      isWhole = !isResumed;
      return undefined;
    } catch (error) {
      const {hasExpired: wasInactive} = attempt.inactivityTimeout;
      if (!this.progress.cancellation.isCancelled && !isOverdue(attempt)) {
        attempt.slot.target.recordBrokenStream(this.progress, wasInactive);
        attempt.observed?.recordBroken();
      }
      return {reason: String(error), wasInactive};
    } finally {
      attempt.observed?.recordCancelled();
      attempt.inactivityTimeout.stop();
      attempt.slot.release(isWhole);
    }
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

  private recordDelivery(): void {
    const now = performance.now();
    if (this.firstEventAtMilliseconds === undefined)
      this.firstEventAtMilliseconds = now;
    else
      this.longestPauseMilliseconds = Math.max(
        this.longestPauseMilliseconds,
        now - this.lastEventAtMilliseconds,
      );
    this.lastEventAtMilliseconds = now;
    this.progress.lastDeliveryAtMilliseconds = now;
  }

  private timing(): StreamTiming {
    const {arrivedAtMilliseconds} = this.progress.request;
    return {
      firstEventMilliseconds:
        this.firstEventAtMilliseconds &&
        this.firstEventAtMilliseconds - arrivedAtMilliseconds,
      longestPauseMilliseconds: this.longestPauseMilliseconds,
    };
  }

  /** Resumes the stream in another attempt, if a retry is allowed. */
  private async resume(
    failure: SegmentFailure,
  ): Promise<AttemptResult | undefined> {
    const {request, cancellation, attempts} = this.progress;
    const {route} = request;
    const isAllowed =
      isRepeatable(route) &&
      !cancellation.isCancelled &&
      attempts < route.maximumAttempts &&
      (failure.wasInactive || this.options.tryConsumeRetry());
    if (!isAllowed) return undefined;
    const next = await this.options.resume(this.eventSequencer.lastEventId);
    const attempt = next.ok ? next.val : undefined;
    const isStream =
      attempt?.outcome === AttemptOutcome.ANSWERED &&
      attempt.body === undefined;
    const resumed = isStream ? attempt : undefined;
    this.options.onResume(failure.reason, resumed);
    return resumed;
  }
}
