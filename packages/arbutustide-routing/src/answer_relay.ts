import type {Cancellation} from '@arbutustide/errors';

import type {OpenAttempt} from './attempt_runner.js';
import type {AnswerChunks} from './caller_request.js';

import {
  ErrorKind,
  createRefusalAnswer,
  RefusalError,
} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {AnswerEnd} from './caller_request.js';

/** Larger answers are not copied; the claim store keeps only small ones. */
const COPY_LIMIT_BYTES = 1_048_576;

/** Options of an `AnswerRelay`. */
export interface AnswerRelayOptions {
  /** Whether to copy the answer, for replay to a repeated request. */
  readonly keepsCopy: boolean;
  /**
   * Called once when the answer ends. The copy is set if the answer is
   * complete and was copied.
   */
  readonly onEnd: (end: AnswerEnd, copy: Buffer | undefined) => void;
  /** Cancelled when the answer ends before it is complete. */
  readonly cancellation: Cancellation;
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

  /** Length of an answer that has arrived completely; otherwise undefined. */
  get lengthBytes(): number | undefined {
    const {chunks, remainder, events} = this.attempt;
    if (remainder || events) return undefined;
    return chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  }

  /** Yields the chunks of the answer; returns how the answer ended. */
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
      const chunk = await remainder.readChunk();
      if (!chunk.ok) return AnswerEnd.BROKEN;
      if (chunk.val === undefined) return AnswerEnd.WHOLE;
      yield this.recordCopy(chunk.val);
    }
  }

  private async *relayRemainingEvents(): AnswerChunks {
    for (;;) {
      const event = await this.attempt.events?.next();
      if (!event?.ok) {
        yield streamErrorEvent(event?.val.message ?? 'no event stream is open');
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
    this.options.cancellation.cancel(
      new AttemptError(
        AttemptFailure.CANCELLED,
        'the answer was cancelled before it was complete',
      ),
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

/** The event that reports to the caller that its stream is incomplete. */
function streamErrorEvent(reason: string): Buffer {
  const refusal = new RefusalError(ErrorKind.UPSTREAM_BROKEN, reason);
  const {body} = createRefusalAnswer(refusal, '');
  return Buffer.from(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
}
