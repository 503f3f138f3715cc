import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AttemptResult} from './run_attempt.js';
import type {FleetProgress} from './fleet_progress.js';

import {AnswerEnd} from '../caller_request.js';
import {AttemptOutcome} from './attempt_verdict.js';
import {OrderedEvents} from './ordered_events.js';
import {isRepeatable} from './route.js';

/** What a stream asks of the dispatcher. */
export interface ProxyEventStreamOptions {
  /** Finds another upstream that goes on after the event. */
  readonly resume: (
    after: number | undefined,
  ) => Promise<Result<AttemptResult, RefusalError>>;
  /** Takes one retry from the fleet's budget, if there is one. */
  readonly tryTakeRetry: () => boolean;
  /** Told when an upstream broke the stream off. */
  readonly onConnectionLost: () => void;
  readonly onResume: (reason: string, next: AttemptResult | undefined) => void;
  readonly onEnd: (end: AnswerEnd, pace: StreamTiming) => void;
}

/** How a stream's events came, in milliseconds. */
export interface StreamTiming {
  /** From the request's arrival to its first event; undefined without one. */
  readonly firstEventMilliseconds: number | undefined;
  readonly longestPauseMilliseconds: number;
}

/** Why one attempt's part of a stream ended before the stream did. */
interface SegmentFailure {
  readonly reason: string;
  /** Whether it was given up here, for which the retry was taken already. */
  readonly wasInactive?: boolean;
}

/** Passes a stream's events on, over all the upstreams that make them. */
export class ProxyEventStream {
  private readonly eventSequencer: OrderedEvents;
  private firstEventAtMilliseconds: number | undefined;
  private lastEventAtMilliseconds = 0;
  private longestPauseMilliseconds = 0;

  constructor(
    private readonly progress: FleetProgress,
    private readonly options: ProxyEventStreamOptions,
  ) {
    this.eventSequencer = new OrderedEvents(progress.request.lastEventId);
  }

  /** Pieces of whole events; returns how the stream ended. */
  async *readChunks(
    first: AttemptResult,
  ): AsyncGenerator<Uint8Array, AnswerEnd, undefined> {
    let end = AnswerEnd.ABANDONED;
    let attempt: AttemptResult | undefined = first;
    try {
      while (attempt) {
        const broken: SegmentFailure | undefined =
          yield* this.readSegment(attempt);
        end = broken ? AnswerEnd.BROKEN : AnswerEnd.WHOLE;
        attempt = broken && (await this.resume(broken));
      }
      return end;
    } finally {
      this.options.onEnd(end, this.timing());
    }
  }

  /** The events one attempt makes; returns why it broke, if it did. */
  private async *readSegment(
    attempt: AttemptResult,
  ): AsyncGenerator<Uint8Array, SegmentFailure | undefined, undefined> {
    this.eventSequencer.discardPartialEvent();
    try {
      for await (const piece of attempt.head?.body ?? []) {
        attempt.watch.recordActivity();
        const {bytes, problem} = this.eventSequencer.push(piece);
        if (bytes) {
          this.recordDelivery();
          yield bytes;
        }
        if (problem) return {reason: `event out of order: ${problem}`};
      }
      return this.eventSequencer.hasPartialEvent
        ? {reason: 'the stream ended within an event'}
        : undefined;
    } catch (error) {
      const {hasExpired: isSilent} = attempt.watch;
      if (!this.progress.cancellation.isCancelled) {
        attempt.place.upstream.recordFailure();
        if (!isSilent) this.options.onConnectionLost();
      }
      return {reason: String(error), wasInactive: isSilent};
    } finally {
      attempt.watch.stop();
      attempt.place.release();
    }
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

  /** The attempt that goes on with the stream, if there may be one. */
  private async resume(
    broken: SegmentFailure,
  ): Promise<AttemptResult | undefined> {
    const {request, cancellation: cancel, attempts} = this.progress;
    const {route} = request;
    const isAllowed =
      isRepeatable(route) &&
      !cancel.isCancelled &&
      attempts < route.maximumAttempts &&
      (broken.wasInactive || this.options.tryTakeRetry());
    if (!isAllowed) return undefined;
    const next = await this.options.resume(this.eventSequencer.lastEventId);
    const attempt = next.ok ? next.val : undefined;
    const isStream =
      attempt?.outcome === AttemptOutcome.ANSWERED &&
      attempt.body === undefined;
    const resumed = isStream ? attempt : undefined;
    this.options.onResume(broken.reason, resumed);
    return resumed;
  }
}
