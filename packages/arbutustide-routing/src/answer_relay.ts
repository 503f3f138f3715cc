import type {Cancellation} from '@arbutustide/errors';

import type {OpenAttempt} from './attempt_runner.js';
import type {AnswerChunks} from './caller_request.js';

import {ErrorKind, refusalAnswer, RefusalError} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {AnswerEnd} from './caller_request.js';

/** A copy is given up beyond this size; the claim store keeps small ones. */
const COPY_LIMIT_BYTES = 1_048_576;

/** What the relay does besides relaying. */
export interface AnswerRelayOptions {
  /** Whether the answer is kept for a resend. */
  readonly keepsCopy: boolean;
  /** Called once, with the copy when there is a whole one. */
  readonly onEnd: (end: AnswerEnd, copy: Buffer | undefined) => void;
  /** Cancels the attempt when the caller stops reading. */
  readonly cancel: Cancellation;
}

/** Relays the answer of one attempt to the caller. */
export class AnswerRelay {
  private copy: Uint8Array[] | undefined;
  private copiedBytes = 0;

  constructor(
    private readonly attempt: OpenAttempt,
    private readonly options: AnswerRelayOptions,
  ) {
    this.copy = options.keepsCopy ? [] : undefined;
  }

  /** Length of an answer that has arrived whole. */
  get lengthBytes(): number | undefined {
    const {chunks, remainder, events} = this.attempt;
    if (remainder || events) return undefined;
    return chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  }

  /** The chunks of the answer; returns how it ended. */
  async *chunks(): AnswerChunks {
    let end = AnswerEnd.ABANDONED;
    try {
      for (const chunk of this.attempt.chunks) yield this.recordCopy(chunk);
      end = yield* this.relayRemainder();
      return end;
    } finally {
      if (end !== AnswerEnd.WHOLE) this.cancelAttempt();
      this.options.onEnd(end, this.completeCopy(end));
    }
  }

  private async *relayRemainder(): AnswerChunks {
    const {remainder, events} = this.attempt;
    if (events) return yield* this.relayRemainingEvents();
    if (!remainder) return AnswerEnd.WHOLE;
    for (;;) {
      const chunk = await remainder.read();
      if (!chunk.ok) return AnswerEnd.BROKEN;
      if (chunk.val === undefined) return AnswerEnd.WHOLE;
      yield this.recordCopy(chunk.val);
    }
  }

  private async *relayRemainingEvents(): AnswerChunks {
    for (;;) {
      const event = await this.attempt.events?.next();
      if (!event?.ok) {
        yield streamErrorEvent(event?.val.message ?? 'no stream');
        return AnswerEnd.BROKEN;
      }
      if (event.val === undefined) return AnswerEnd.WHOLE;
      const {bytes} = event.val;
      const bufferedEvents = this.attempt.events?.takeBuffered() ?? [];
      yield this.recordCopy(
        bufferedEvents.length === 0
          ? bytes
          : Buffer.concat([bytes, ...bufferedEvents]),
      );
    }
  }

  private cancelAttempt(): void {
    this.attempt.events?.cancel();
    this.attempt.remainder?.cancel();
    this.options.cancel.cancel(
      new AttemptError(AttemptFailure.CANCELLED, 'the answer was given up'),
    );
  }

  private recordCopy(chunk: Uint8Array): Uint8Array {
    this.copiedBytes += chunk.length;
    if (this.copiedBytes > COPY_LIMIT_BYTES) this.copy = undefined;
    this.copy?.push(chunk);
    return chunk;
  }

  private completeCopy(end: AnswerEnd): Buffer | undefined {
    if (end !== AnswerEnd.WHOLE || !this.copy) return undefined;
    return Buffer.concat(this.copy);
  }
}

/** The event that tells a caller that its stream ends unfinished. */
function streamErrorEvent(reason: string): Buffer {
  const refusal = new RefusalError(ErrorKind.UPSTREAM_BROKEN, reason);
  const {body} = refusalAnswer(refusal, '');
  return Buffer.from(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
}
