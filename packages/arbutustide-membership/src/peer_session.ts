import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import {connect, constants} from 'node:http2';

import {ResponseTimeout} from '@arbutustide/event-loop';

/**
 * Shortest pause between two checks. A ping may fail at once, and the next check
 * is then due at once.
 */
const MINIMUM_CHECK_PAUSE_MILLISECONDS = 100;

/** Limits of a session, in milliseconds. */
export interface PeerSessionOptions {
  /** Time without traffic after which the connection is checked by a ping. */
  readonly pingIntervalMs: number;
  /** Time for the answer to a ping. */
  readonly pingTimeoutMs: number;
  /** A session without requests is closed after this time. */
  readonly idleConnectionTimeoutMs: number;
}

/**
 * One HTTP/2 connection to a peer. It is listened to from its creation to its
 * end, whatever becomes of its requests: an error that nobody listens to would
 * end the process.
 */
export class PeerSession {
  private readonly session: ClientHttp2Session;
  /** Resolves when the connection is open, or will not be opened. */
  private readonly settled: Promise<void>;
  private settle: () => void = () => {};
  private isConnected = false;
  private isLeaving = false;
  private error: Error | undefined;
  private openStreams = 0;
  private aliveAtMilliseconds = performance.now();
  private pendingPing: Promise<boolean> | undefined;
  /** Of the next check, or of the end of an idle session. */
  private timer: NodeJS.Timeout | undefined;

  /** @param onError called when the connection fails after it was opened. */
  constructor(
    authority: string,
    private readonly options: PeerSessionOptions,
    onError: (error: Error) => void,
  ) {
    this.session = connect(authority);
    this.session.on('error', error => {
      this.error = error;
      if (this.isConnected) onError(error);
    });
    this.session.on('goaway', () => this.leave());
    this.settled = new Promise(resolve => {
      this.settle = resolve;
    });
    this.session.once('connect', () => this.handleConnect());
    this.session.once('close', () => {
      clearTimeout(this.timer);
      this.settle();
    });
    // A connection that does not open is as useless as a silent one.
    const {pingIntervalMs, pingTimeoutMs} = options;
    this.timer = setTimeout(
      () => this.destroy('the connection was not opened in time'),
      pingIntervalMs + pingTimeoutMs,
    ).unref();
  }

  /** Whether new requests may be sent on it, at once or when it is open. */
  get isUsable(): boolean {
    const {closed, destroyed} = this.session;
    return !closed && !destroyed && !this.isLeaving;
  }

  /** Whether the connection failed, or was closed, before it was open. */
  get hasNeverOpened(): boolean {
    return !this.isConnected;
  }

  /** Why the connection failed; undefined if it has not. */
  get failure(): Error | undefined {
    return this.error;
  }

  /**
   * Waits until the connection is open and, after a time without traffic, has
   * answered a ping.
   *
   * @return whether requests may be sent on it.
   */
  async prepare(): Promise<boolean> {
    await this.settled;
    if (!this.isUsable) return false;
    if (this.silentMilliseconds <= this.options.pingIntervalMs) return true;
    return (await this.ping()) && this.isUsable;
  }

  /** Sends a request. Call it only in the same task as a successful `prepare`. */
  request(
    headers: OutgoingHttpHeaders,
    options: ClientSessionRequestOptions,
  ): ClientHttp2Stream {
    const stream = this.session.request(headers, options);
    // The caller listens too, but only some time after it has the stream.
    stream.on('error', () => {});
    stream.once('response', () => this.recordAlive());
    stream.once('close', () => {
      this.openStreams -= 1;
      this.handleStreamCount();
    });
    this.openStreams += 1;
    this.handleStreamCount();
    return stream;
  }

  /** Records that the peer has sent something. */
  recordAlive(): void {
    this.aliveAtMilliseconds = performance.now();
  }

  /** Takes no new requests, and closes when the last one has ended. */
  close(): void {
    this.session.close();
  }

  private get silentMilliseconds(): number {
    return performance.now() - this.aliveAtMilliseconds;
  }

  private handleConnect(): void {
    // Node.js reports it also of a session that was destroyed before.
    if (this.session.destroyed) return;
    this.isConnected = true;
    this.recordAlive();
    this.handleStreamCount();
    this.settle();
  }

  private leave(): void {
    this.isLeaving = true;
    this.handleStreamCount();
  }

  /** An idle session does not keep the process from ending. */
  private handleStreamCount(): void {
    clearTimeout(this.timer);
    const {session, options} = this;
    if (session.destroyed || !this.isConnected) return;
    if (this.openStreams > 0) {
      session.ref();
      this.scheduleCheck();
      return;
    }
    session.unref();
    // The peer may leave its end open after it has said that it goes away.
    if (this.isLeaving) session.destroy();
    else
      this.timer = setTimeout(
        () => session.close(),
        options.idleConnectionTimeoutMs,
      ).unref();
  }

  private scheduleCheck(): void {
    clearTimeout(this.timer);
    // Every ping fails on a closed session, which its last stream ends.
    if (this.session.closed) return;
    const remaining = this.options.pingIntervalMs - this.silentMilliseconds;
    this.timer = setTimeout(
      () => void this.check(),
      Math.max(MINIMUM_CHECK_PAUSE_MILLISECONDS, remaining),
    );
    this.timer.unref();
  }

  private async check(): Promise<void> {
    if (this.silentMilliseconds >= this.options.pingIntervalMs)
      await this.ping();
    if (this.openStreams > 0 && !this.session.destroyed) this.scheduleCheck();
  }

  /** Pings the peer; ends the connection if there is no answer in time. */
  private ping(): Promise<boolean> {
    this.pendingPing ??= this.pingOnce().finally(() => {
      this.pendingPing = undefined;
    });
    return this.pendingPing;
  }

  private pingOnce(): Promise<boolean> {
    return new Promise(resolve => {
      if (this.session.destroyed) {
        resolve(false);
        return;
      }
      const timeout = new ResponseTimeout(this.options.pingTimeoutMs);
      timeout.signal.addEventListener('abort', () => {
        this.destroy('the peer did not answer a ping');
        resolve(false);
      });
      this.session.ping(error => {
        timeout.close();
        if (!error) this.recordAlive();
        resolve(!error);
      });
    });
  }

  private destroy(reason: string): void {
    if (this.session.destroyed) return;
    const error = new Error(reason);
    this.error ??= error;
    this.session.destroy(error, constants.NGHTTP2_CANCEL);
    // A session that is destroyed while it is opened may emit no event.
    this.settle();
  }
}
