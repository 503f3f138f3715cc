import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'ts-results';

import type {BodyMemory, BodyRoom} from './body_memory.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {turnQueue} from '@arbutustide/event-loop';
import {Err, Ok} from 'ts-results';

import {BodyBuffer} from './body_buffer.js';
import {readingPace} from './reading_pace.js';

/** Each chunk costs time, however short it is. */
const MOST_SHORT_CHUNKS = 16_384;
const SHORT_CHUNK_BYTES = 16;

/** What the timeout of a body counts. */
export enum BodyTimeout {
  /** The time until the body is whole. */
  WHOLE_BODY = 'whole_body',
  /** The time without a byte. */
  SILENCE = 'silence',
}

/** Limits on the length and the transfer time of a request body. */
export interface BodyLimits {
  readonly lengthBytes: number;
  readonly timeout: BodyTimeout;
  readonly timeoutMilliseconds: number;
}

export type BodyResult = Result<Buffer, RefusalError>;

/** A request body of which more may come. */
export class ArrivingBody {
  /** Holds the bytes until it is released. */
  readonly room: BodyRoom;
  private readonly buffer: BodyBuffer;
  private readonly timer: NodeJS.Timeout;
  private isFinished = false;
  private chunkCount = 0;

  /** @param onFinished called once: when the body is whole or refused. */
  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly limits: BodyLimits,
    memory: BodyMemory,
    private readonly onFinished: (result: BodyResult) => void,
  ) {
    const {lengthBytes, timeoutMilliseconds} = limits;
    this.room = memory.open(lengthBytes, this.refuseWithoutRoom);
    const announcedBytes = Number(
      message.headers['content-length'] ?? Infinity,
    );
    this.buffer = new BodyBuffer(
      this.room,
      Math.min(announcedBytes, lengthBytes),
    );
    this.timer = setTimeout(() => void this.refuseLate(), timeoutMilliseconds);
    message.on('data', this.addChunk).once('end', this.finishWhole);
    // The message has no error to report if nobody waits for its body.
    message.once('error', this.refuseClosed).once('close', this.refuseClosed);
    response.once('close', this.refuseClosed);
  }

  private get lengthBytes(): number {
    return this.buffer.lengthBytes;
  }

  private readonly addChunk = (chunk: Buffer): void => {
    readingPace.record(this.message, chunk.length);
    const {lengthBytes, timeout} = this.limits;
    if (timeout === BodyTimeout.SILENCE) this.timer.refresh();
    if (this.buffer.lengthBytes + chunk.length > lengthBytes)
      this.finish(Err(createTooLongRefusal(lengthBytes)));
    else if (!this.buffer.tryAppend(chunk)) this.refuseWithoutRoom();
    this.chunkCount += 1;
    const leastBytes = SHORT_CHUNK_BYTES * this.chunkCount;
    if (this.chunkCount > MOST_SHORT_CHUNKS && this.lengthBytes < leastBytes)
      this.finish(Err(createShortChunksRefusal()));
  };

  private readonly finishWhole = (): void => {
    this.finish(Ok(this.buffer.takeBytes()));
  };

  private readonly refuseClosed = (): void => {
    const reason = 'the connection closed before the whole body arrived';
    this.finish(Err(new RefusalError(ErrorKind.BAD_REQUEST, reason)));
  };

  private readonly refuseWithoutRoom = (): void => {
    const reason = 'this node has no memory for the body at the moment';
    this.finish(Err(new RefusalError(ErrorKind.QUEUE_FULL, reason)));
  };

  private async refuseLate(): Promise<void> {
    const {buffer, timer} = this;
    const {timeout, timeoutMilliseconds} = this.limits;
    const {lengthBytes} = buffer;
    // What came while the event loop was blocked is read first.
    await turnQueue.nextTurn();
    const isSilent = buffer.lengthBytes === lengthBytes;
    if (timeout === BodyTimeout.SILENCE && !isSilent) {
      if (!this.isFinished) timer.refresh();
      return;
    }
    const reason =
      timeout === BodyTimeout.SILENCE
        ? `nothing of the body came for ${timeoutMilliseconds} ms`
        : `the body did not arrive within ${timeoutMilliseconds} ms`;
    this.finish(Err(new RefusalError(ErrorKind.REQUEST_TIMEOUT, reason)));
  }

  private finish(result: BodyResult): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.timer);
    const {message, response, room} = this;
    readingPace.forget(message);
    message.off('data', this.addChunk).off('end', this.finishWhole);
    message.off('close', this.refuseClosed);
    response.off('close', this.refuseClosed);
    if (result.ok) {
      room.keep();
    } else {
      room.release();
      this.buffer.clear();
      // The rest stays with the system until the refusal has been written.
      message.pause();
    }
    this.onFinished(result);
  }
}

export function createTooLongRefusal(lengthBytes: number): RefusalError {
  const reason = `the body is longer than ${lengthBytes} bytes`;
  return new RefusalError(ErrorKind.BODY_TOO_LARGE, reason);
}

function createShortChunksRefusal(): RefusalError {
  const reason = `the body has more than ${MOST_SHORT_CHUNKS} short chunks`;
  return new RefusalError(ErrorKind.BODY_TOO_LARGE, reason);
}
