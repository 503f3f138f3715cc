import type {TurnQueue} from '@arbutustide/event-loop';

import {turnQueue} from '@arbutustide/event-loop';

import {AttemptError, AttemptFailure} from './attempt_error.js';

/**
 * Time for which it is taken for granted that the caller is still there. After
 * that, input that waits is read before the request is written.
 */
const FRESH_MILLISECONDS = 50;

/** Why a request is not written. */
export enum UnsentReason {
  CANCELLED = 'the request was cancelled before it was sent',
  DEADLINE = 'the deadline passed before the request was sent',
  STALE = 'it was not known whether the caller was still there',
}

/** Thrown when a connection is about to write a request that must not leave. */
export class UnsentError extends Error {
  constructor(readonly reason: UnsentReason) {
    super(reason);
    this.name = 'UnsentError';
  }
}

/** What decides whether a request may be sent. */
export interface SendConditions {
  /** Until when it is known that the caller had not left (monotonic). */
  readonly callerSeenAtMilliseconds: number;
  /** Monotonic clock, in milliseconds. */
  readonly deadlineAtMilliseconds: number;
  readonly isCancelled: () => boolean;
}

/**
 * Decides at the moment at which a request would be written whether it may be.
 * Until then it may have waited for a connection, and the process for the CPU.
 */
export class SendCheck {
  private callerSeenAtMilliseconds: number;
  private isWritten = false;

  constructor(
    private readonly conditions: SendConditions,
    private readonly turns: Pick<TurnQueue, 'nextTurn'> = turnQueue,
  ) {
    this.callerSeenAtMilliseconds = conditions.callerSeenAtMilliseconds;
  }

  /** Whether an upstream may have read a part of the request. */
  get wasSent(): boolean {
    return this.isWritten;
  }

  /**
   * Called immediately before the request is written.
   *
   * @throws UnsentError if it must not be.
   */
  beforeWrite(): void {
    const reason = this.unsentReason;
    if (reason) throw new UnsentError(reason);
    this.isWritten = true;
  }

  /**
   * Calls `send` until it has written the request or must not write it any more.
   * What `send` writes is checked by `beforeWrite`.
   */
  async sendWhenFresh<T>(send: () => Promise<T>): Promise<T> {
    for (;;) {
      await this.refresh();
      try {
        return await send();
      } catch (error) {
        if (!isStaleError(error)) throw error;
      }
    }
  }

  /**
   * Waits until it is known that the caller is still there.
   *
   * @return the error of the attempt if the request must not be sent.
   */
  async confirm(): Promise<AttemptError | undefined> {
    try {
      await this.sendWhenFresh(async () => this.beforeWrite());
      return undefined;
    } catch (error) {
      return this.toUnsentAttemptError(error);
    }
  }

  /** The error of an attempt that was not sent, if that is why it failed. */
  toUnsentAttemptError(error: unknown): AttemptError | undefined {
    const isOver =
      this.conditions.isCancelled() || error instanceof UnsentError;
    return isOver && !this.wasSent
      ? new AttemptError(AttemptFailure.NOT_SENT, String(error))
      : undefined;
  }

  /** Waits until input has been read, if the caller was heard of long ago. */
  private async refresh(): Promise<void> {
    if (!this.isStale) return;
    const {isCancelled} = this.conditions;
    this.callerSeenAtMilliseconds = await this.turns.nextTurn(
      () => !isCancelled(),
    );
  }

  private get isStale(): boolean {
    const age = performance.now() - this.callerSeenAtMilliseconds;
    return age > FRESH_MILLISECONDS;
  }

  private get unsentReason(): UnsentReason | undefined {
    const {isCancelled, deadlineAtMilliseconds} = this.conditions;
    if (isCancelled()) return UnsentReason.CANCELLED;
    if (performance.now() >= deadlineAtMilliseconds)
      return UnsentReason.DEADLINE;
    return this.isStale ? UnsentReason.STALE : undefined;
  }
}

function isStaleError(error: unknown): boolean {
  return error instanceof UnsentError && error.reason === UnsentReason.STALE;
}
