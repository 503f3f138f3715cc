import type {Cancellation} from '@arbutustide/errors';

import type {OpenAttempt} from './attempt_runner.js';
import type {AnswerPieces} from './caller_request.js';

import {ErrorKind, refusalAnswer, RefusalError} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {AnswerEnd} from './caller_request.js';

/** A copy is given up beyond this size; the claim store keeps small ones. */
const COPY_LIMIT_BYTES = 1_048_576;

/** What the relay does besides relaying. */
export interface RelayOptions {
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
    private readonly options: RelayOptions,
  ) {
    this.copy = options.keepsCopy ? [] : undefined;
  }

  /** Length of an answer that has arrived whole. */
  get lengthBytes(): number | undefined {
    const {pieces, rest, events} = this.attempt;
    if (rest || events) return undefined;
    return pieces.reduce((sum, piece) => sum + piece.length, 0);
  }

  /** The pieces of the answer; returns how it ended. */
  async *pieces(): AnswerPieces {
    let end = AnswerEnd.ABANDONED;
    try {
      for (const piece of this.attempt.pieces) yield this.kept(piece);
      end = yield* this.remaining();
      return end;
    } finally {
      if (end !== AnswerEnd.WHOLE) this.giveUp();
      this.options.onEnd(end, this.wholeCopy(end));
    }
  }

  private async *remaining(): AnswerPieces {
    const {rest, events} = this.attempt;
    if (events) return yield* this.remainingEvents();
    if (!rest) return AnswerEnd.WHOLE;
    for (;;) {
      const piece = await rest.read();
      if (!piece.ok) return AnswerEnd.BROKEN;
      if (piece.val === undefined) return AnswerEnd.WHOLE;
      yield this.kept(piece.val);
    }
  }

  private async *remainingEvents(): AnswerPieces {
    for (;;) {
      const event = await this.attempt.events?.next();
      if (!event?.ok) {
        yield brokenStreamEvent(event?.val.message ?? 'no stream');
        return AnswerEnd.BROKEN;
      }
      if (event.val === undefined) return AnswerEnd.WHOLE;
      const {bytes} = event.val;
      const ready = this.attempt.events?.takeReady() ?? [];
      yield this.kept(
        ready.length === 0 ? bytes : Buffer.concat([bytes, ...ready]),
      );
    }
  }

  private giveUp(): void {
    this.attempt.events?.cancel();
    this.attempt.rest?.cancel();
    this.options.cancel.cancel(
      new AttemptError(AttemptFailure.CANCELLED, 'the answer was given up'),
    );
  }

  private kept(piece: Uint8Array): Uint8Array {
    this.copiedBytes += piece.length;
    if (this.copiedBytes > COPY_LIMIT_BYTES) this.copy = undefined;
    this.copy?.push(piece);
    return piece;
  }

  private wholeCopy(end: AnswerEnd): Buffer | undefined {
    if (end !== AnswerEnd.WHOLE || !this.copy) return undefined;
    return Buffer.concat(this.copy);
  }
}

/** The event that tells a caller that its stream ends unfinished. */
function brokenStreamEvent(reason: string): Buffer {
  const refusal = new RefusalError(ErrorKind.UPSTREAM_BROKEN, reason);
  const {body} = refusalAnswer(refusal, '');
  return Buffer.from(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
}
