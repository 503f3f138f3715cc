import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {readingPace} from './bounds/reading_pace.js';

/**
 * A caller that uses its connection in a closed loop sends its next request
 * sooner after an answer.
 */
const QUIET_MILLISECONDS = 1_000;
/** The same for callers that may still read the answer from the buffers. */
const SLOW_QUIET_MILLISECONDS = 5_000;
/** An answer that waits longer for room in the buffers is read slowly. */
const SLOW_FLUSH_MILLISECONDS = 20;

/**
 * Input that is discarded after the last answer. The caller of a longer body may
 * have to stop sending before it can read the answer.
 */
const MOST_DISCARDED_BYTES = 8 * 1_024 * 1_024;

/** How a connection of a caller ended. */
export enum ConnectionEnd {
  /** The caller closed it while it waited for no answer. */
  CALLER = 'caller',
  /** It was closed because nothing had come on it for some time. */
  IDLE = 'idle',
  /** It was closed after an answer that announced this. */
  ANNOUNCED = 'announced',
  /** It was closed although the caller had not closed its side in time. */
  LINGERED = 'lingered',
  /** It ended, from either side, with an answer that was not all sent. */
  UNSENT = 'unsent',
}

/** A connection of a caller and the answers that it still waits for. */
export class CallerConnection {
  /** Times at which the requests of the open answers arrived. */
  private readonly answers = new Map<ServerResponse, number>();
  private quietSinceMilliseconds = performance.now();
  /** Bytes that had been read when the last answer ended. */
  private answeredBytes = 0;
  private isUsed = false;
  /** Whether the end of the last answer waited for the caller to read. */
  private isReadSlowly = false;
  private end = ConnectionEnd.CALLER;
  private lingerTimer: NodeJS.Timeout | undefined;

  constructor(private readonly socket: Socket) {
    socket.once('close', () => {
      clearTimeout(this.lingerTimer);
      if (this.answers.size > 0) this.end = ConnectionEnd.UNSENT;
    });
  }

  /** Answers that are not yet with the system, in the order of requests. */
  get openAnswers(): readonly ServerResponse[] {
    return [...this.answers.keys()];
  }

  /** Whether it waits for an answer. */
  get isWaiting(): boolean {
    return this.answers.size > 0;
  }

  /** Whether it has carried a request. */
  get hasCarriedRequest(): boolean {
    return this.isUsed;
  }

  /** Whether this side has closed it or has begun to. */
  get isClosing(): boolean {
    return this.end !== ConnectionEnd.CALLER || this.socket.destroyed;
  }

  /** How it ended; call it after the socket has closed. */
  get endReason(): ConnectionEnd {
    return this.end;
  }

  /**
   * Time since the last answer or, without one, since it was opened; zero while
   * an answer is in flight or a request has come in part.
   */
  get quietMilliseconds(): number {
    const isBusy =
      this.answers.size > 0 || this.socket.bytesRead > this.answeredBytes;
    return isBusy ? 0 : performance.now() - this.quietSinceMilliseconds;
  }

  /** Whether nothing is likely to come on it soon. */
  get isQuiet(): boolean {
    const enough = this.isReadSlowly
      ? SLOW_QUIET_MILLISECONDS
      : QUIET_MILLISECONDS;
    return this.quietMilliseconds >= enough;
  }

  /**
   * Whether the caller waits for the answer to a request that came by then, or
   * may still be reading one.
   */
  isServingSince(milliseconds: number): boolean {
    if (this.isReadSlowly && !this.isClosing && !this.isQuiet) return true;
    return [...this.answers.values()].some(cameAt => cameAt <= milliseconds);
  }

  addAnswer(response: ServerResponse): void {
    this.isUsed = true;
    this.answers.set(response, performance.now());
    let endedAt = Infinity;
    response.once('prefinish', () => (endedAt = performance.now()));
    response.once('close', () => {
      this.answers.delete(response);
      const flushMilliseconds = performance.now() - endedAt;
      this.isReadSlowly = flushMilliseconds > SLOW_FLUSH_MILLISECONDS;
      this.answeredBytes = this.socket.bytesRead;
      this.quietSinceMilliseconds = performance.now();
    });
  }

  /**
   * Sends a FIN and discards what still comes until the caller has closed its
   * side; what is more than a longest body stays unread. Closed at once, a socket
   * with unread input resets the connection, and a reset discards what the caller
   * has not read yet of an answer.
   */
  closeLingering(end: ConnectionEnd, lingerMilliseconds: number): void {
    const {socket} = this;
    if (this.isClosing) return;
    this.end = end;
    socket.setTimeout(0);
    // A listener of `data` also takes the input from the HTTP parser.
    socket.removeAllListeners('data');
    let discardedBytes = 0;
    socket.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      readingPace.record(socket, chunk.length);
      if (discardedBytes <= MOST_DISCARDED_BYTES) return;
      readingPace.forget(socket);
      socket.pause();
    });
    socket.resume();
    socket.end();
    this.lingerTimer = setTimeout(() => {
      this.end = ConnectionEnd.LINGERED;
      socket.destroy();
    }, lingerMilliseconds);
  }

  destroy(): void {
    if (this.end === ConnectionEnd.CALLER) this.end = ConnectionEnd.IDLE;
    else if (!this.socket.destroyed) this.end = ConnectionEnd.LINGERED;
    this.socket.destroy();
  }
}
