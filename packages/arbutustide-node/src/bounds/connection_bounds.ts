import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {BoundRecorder, ServerName} from './bound_recorder.js';

import {BoundName} from './bound_recorder.js';
import {BoundedConnection} from './bounded_connection.js';

/** Interval at which answers that callers do not take are looked for. */
const SWEEP_MILLISECONDS = 500;
/** A caller may leave the last answers of its connection unread for so long. */
const LAST_ANSWERS_MILLISECONDS = 10_000;
/** The same for any connection while a bound of the server is reached. */
const STALL_MILLISECONDS = 5_000;
/** A connection opened more recently may just have no request yet. */
const UNUSED_MILLISECONDS = 1_000;
/**
 * Share of the requests that may come on connections with open answers; the
 * rest is for those that wait for one answer.
 */
const AHEAD_SHARE = 0.75;
/** Replaced connections that may wait for their callers to close. */
const MAXIMUM_LINGERING = 32;

/** What the callers of a server can make it hold. */
export interface ServerBounds {
  readonly connections: number;
  /** Requests of one connection whose answers are not sent. */
  readonly requestsPerConnection: number;
  /** Requests of all connections whose answers are not sent. */
  readonly requests: number;
  /** Bytes of answers that callers have not taken. */
  readonly unreadBytes: number;
}

export interface ConnectionBoundsOptions {
  readonly name: ServerName;
  readonly bounds: ServerBounds;
  readonly recorder: Pick<BoundRecorder, 'record'>;
  /** Closes a connection without a reset, after what has been written. */
  readonly close: (socket: Socket) => void;
  /** Refuses a request as not run; without it the connection is closed. */
  readonly refuse?: (
    message: IncomingMessage,
    response: ServerResponse,
  ) => void;
  /**
   * Whether a new connection may replace one that waits for an answer. For
   * servers that answer at once: only unread answers are open for long.
   */
  readonly replacesWaiting?: boolean;
}

/** Bounds the connections of an HTTP server and the requests on them. */
export class ConnectionBounds {
  private readonly connections = new Map<Socket, BoundedConnection>();
  /** Without a request yet, by the time at which they were opened. */
  private readonly unused = new Map<BoundedConnection, number>();
  /** Without an open answer, in the order in which they became so. */
  private readonly idle = new Set<BoundedConnection>();
  /** With open answers, in the order in which they became so. */
  private readonly waiting = new Set<BoundedConnection>();
  private openRequests = 0;
  private lingeringCount = 0;
  private sweepTimer: NodeJS.Timeout | undefined;

  /** Create it before the server listens. */
  constructor(
    server: Server,
    private readonly options: ConnectionBoundsOptions,
  ) {
    server.on('connection', socket => this.addConnection(socket));
    server.on('listening', () => {
      clearInterval(this.sweepTimer);
      this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MILLISECONDS);
      this.sweepTimer.unref();
    });
    server.on('close', () => clearInterval(this.sweepTimer));
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Number of admitted requests whose answers are not sent. */
  get requestCount(): number {
    return this.openRequests;
  }

  /**
   * Tracks a request until its answer is sent; call it before anything else is
   * done with it.
   *
   * @return whether to serve the request; if not, it has been refused.
   */
  admit(message: IncomingMessage, response: ServerResponse): boolean {
    const {bounds, recorder, name, refuse} = this.options;
    const connection = this.connections.get(message.socket);
    if (!connection) return false;
    const maximum =
      connection.openCount > 0
        ? AHEAD_SHARE * bounds.requests
        : bounds.requests;
    const isAdmitted = this.openRequests < maximum;
    this.addAnswer(connection, response);
    if (isAdmitted) {
      this.openRequests += 1;
      response.once('close', () => (this.openRequests -= 1));
      return true;
    }
    recorder.record(name, BoundName.REQUESTS);
    connection.stop();
    if (refuse) refuse(message, response);
    else message.socket.destroy();
    return false;
  }

  private addAnswer(
    connection: BoundedConnection,
    response: ServerResponse,
  ): void {
    this.unused.delete(connection);
    this.idle.delete(connection);
    this.waiting.add(connection);
    connection.addAnswer(response, () => {
      if (connection.openCount > 0) return;
      this.waiting.delete(connection);
      if (!connection.socket.destroyed) this.idle.add(connection);
    });
  }

  private addConnection(socket: Socket): void {
    if (socket.destroyed) return;
    const {name, bounds, recorder, close} = this.options;
    if (this.connections.size - this.lingeringCount >= bounds.connections) {
      recorder.record(name, BoundName.CONNECTIONS);
      const replaced = this.findReplaceable();
      if (!replaced) {
        socket.destroy();
        return;
      }
      this.replace(replaced);
    }
    const connection = new BoundedConnection(
      socket,
      bounds.requestsPerConnection,
      {
        onOverrun: () =>
          recorder.record(name, BoundName.REQUESTS_PER_CONNECTION),
        onLastAnswer: () => {
          connection.release();
          close(socket);
        },
      },
    );
    this.connections.set(socket, connection);
    this.unused.set(connection, performance.now());
    socket.once('close', () => this.forget(connection));
  }

  private forget(connection: BoundedConnection): void {
    this.connections.delete(connection.socket);
    this.unused.delete(connection);
    this.idle.delete(connection);
    this.waiting.delete(connection);
    process.nextTick(() => connection.abandonAnswers());
  }

  /** The connection that is missed least; undefined if all are in use. */
  private findReplaceable(): BoundedConnection | undefined {
    const [oldest] = this.unused;
    if (oldest && performance.now() - oldest[1] >= UNUSED_MILLISECONDS)
      return oldest[0];
    const [quietest = oldest?.[0]] = this.idle;
    if (quietest || !this.options.replacesWaiting) return quietest;
    const [first] = this.waiting;
    return first;
  }

  private replace(connection: BoundedConnection): void {
    const {socket, openCount} = connection;
    this.unused.delete(connection);
    this.idle.delete(connection);
    this.waiting.delete(connection);
    if (openCount > 0 || this.lingeringCount >= MAXIMUM_LINGERING) {
      this.connections.delete(socket);
      socket.destroy();
      return;
    }
    this.lingeringCount += 1;
    socket.once('close', () => (this.lingeringCount -= 1));
    connection.stop();
    connection.release();
    this.options.close(socket);
  }

  /** Closes connections whose callers hold too much by not reading. */
  private sweep(): void {
    const {bounds, recorder, name} = this.options;
    const isFull =
      this.openRequests >= AHEAD_SHARE * bounds.requests ||
      this.connections.size >= bounds.connections;
    let unreadBytes = 0;
    for (const connection of this.connections.values()) {
      const stallMilliseconds = connection.measureStall();
      const isLeftUnread =
        (connection.isStopped &&
          stallMilliseconds >= LAST_ANSWERS_MILLISECONDS) ||
        (isFull && stallMilliseconds >= STALL_MILLISECONDS);
      if (isLeftUnread) {
        recorder.record(name, BoundName.UNREAD_BYTES);
        connection.socket.destroy();
      } else unreadBytes += connection.unreadBytes;
    }
    if (unreadBytes > bounds.unreadBytes) this.destroyLargest(unreadBytes);
  }

  /** Closes connections with the most unread bytes until they fit. */
  private destroyLargest(unreadBytes: number): void {
    const {bounds, recorder, name} = this.options;
    const sizes = [...this.connections.values()]
      .map(connection => ({connection, bytes: connection.unreadBytes}))
      .sort((one, other) => other.bytes - one.bytes);
    let left = unreadBytes;
    for (const {connection, bytes} of sizes) {
      if (left <= bounds.unreadBytes) return;
      left -= bytes;
      recorder.record(name, BoundName.UNREAD_BYTES);
      connection.socket.destroy();
    }
  }
}
