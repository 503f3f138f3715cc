import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {Attempt} from './fleet_attempt.js';
import type {FleetProgress} from './fleet_progress.js';

import {AnswerEnd} from '../caller_request.js';
import {AttemptOutcome} from './attempt_verdict.js';
import {OrderedEvents} from './ordered_events.js';
import {isRepeatable} from './route.js';

/** What a stream asks of the dispatcher. */
export interface FleetStreamOptions {
  /** Finds another upstream that goes on after the event. */
  readonly resume: (
    after: number | undefined,
  ) => Promise<Result<Attempt, RefusalError>>;
  /** Takes one retry from the fleet's budget, if there is one. */
  readonly tryTakeRetry: () => boolean;
  /** Told when an upstream broke the stream off. */
  readonly onBreak: () => void;
  readonly onResume: (reason: string, next: Attempt | undefined) => void;
  readonly onEnd: (end: AnswerEnd, pace: StreamPace) => void;
}

/** How a stream's events came, in milliseconds. */
export interface StreamPace {
  /** From the request's arrival to its first event; undefined without one. */
  readonly firstEventMilliseconds: number | undefined;
  readonly longestPauseMilliseconds: number;
}

/** Why one attempt's part of a stream ended before the stream did. */
interface PartBreak {
  readonly reason: string;
  /** Whether it was given up here, for which the retry was taken already. */
  readonly isSilent?: boolean;
}

/** Passes a stream's events on, over all the upstreams that make them. */
export class FleetStream {
  private readonly events: OrderedEvents;
  private firstEventAt: number | undefined;
  private lastEventAt = 0;
  private longestPause = 0;

  constructor(
    private readonly progress: FleetProgress,
    private readonly options: FleetStreamOptions,
  ) {
    this.events = new OrderedEvents(progress.request.lastEventId);
  }

  /** Pieces of whole events; returns how the stream ended. */
  async *pieces(
    first: Attempt,
  ): AsyncGenerator<Uint8Array, AnswerEnd, undefined> {
    let end = AnswerEnd.ABANDONED;
    let attempt: Attempt | undefined = first;
    try {
      while (attempt) {
        const broken: PartBreak | undefined = yield* this.part(attempt);
        end = broken ? AnswerEnd.BROKEN : AnswerEnd.WHOLE;
        attempt = broken && (await this.next(broken));
      }
      return end;
    } finally {
      this.options.onEnd(end, this.pace());
    }
  }

  /** The events one attempt makes; returns why it broke, if it did. */
  private async *part(
    attempt: Attempt,
  ): AsyncGenerator<Uint8Array, PartBreak | undefined, undefined> {
    this.events.beginAttempt();
    try {
      for await (const piece of attempt.head?.body ?? []) {
        attempt.watch.heard();
        const {bytes, problem} = this.events.push(piece);
        if (bytes) {
          this.notePiece();
          yield bytes;
        }
        if (problem) return {reason: `event out of order: ${problem}`};
      }
      return this.events.hasRest
        ? {reason: 'the stream ended within an event'}
        : undefined;
    } catch (error) {
      const {hasGivenUp: isSilent} = attempt.watch;
      if (!this.progress.cancel.isCancelled) {
        attempt.place.upstream.recordFailure();
        if (!isSilent) this.options.onBreak();
      }
      return {reason: String(error), isSilent};
    } finally {
      attempt.watch.stop();
      attempt.place.release();
    }
  }

  private notePiece(): void {
    const now = performance.now();
    if (this.firstEventAt === undefined) this.firstEventAt = now;
    else
      this.longestPause = Math.max(this.longestPause, now - this.lastEventAt);
    this.lastEventAt = now;
    this.progress.heardAtMilliseconds = now;
  }

  private pace(): StreamPace {
    const {arrivedAtMilliseconds} = this.progress.request;
    return {
      firstEventMilliseconds:
        this.firstEventAt && this.firstEventAt - arrivedAtMilliseconds,
      longestPauseMilliseconds: this.longestPause,
    };
  }

  /** The attempt that goes on with the stream, if there may be one. */
  private async next(broken: PartBreak): Promise<Attempt | undefined> {
    const {request, cancel, attempts} = this.progress;
    const {route} = request;
    const isAllowed =
      isRepeatable(route) &&
      !cancel.isCancelled &&
      attempts < route.maximumAttempts &&
      (broken.isSilent || this.options.tryTakeRetry());
    if (!isAllowed) return undefined;
    const next = await this.options.resume(this.events.lastNumber);
    const attempt = next.ok ? next.val : undefined;
    const isStream =
      attempt?.outcome === AttemptOutcome.ANSWERED &&
      attempt.body === undefined;
    const resumed = isStream ? attempt : undefined;
    this.options.onResume(broken.reason, resumed);
    return resumed;
  }
}
