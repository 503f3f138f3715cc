import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {Server as NetServer} from 'node:net';

import {delay} from '@arbutustide/errors';
import {turnQueue} from '@arbutustide/event-loop';

import {CallerConnection, ConnectionEnd} from './caller_connection.js';

/** Interval at which connections that became quiet are closed. */
const CLOSE_INTERVAL_MILLISECONDS = 100;
/** How long a caller may take to close its side of a connection. */
const LINGER_MILLISECONDS = 2_000;
const CLOSED_POLL_MILLISECONDS = 10;

/** The connections that have ended since the closing of idle ones began. */
export interface ConnectionSummary {
  /** Number of connections by how they ended. */
  readonly ends: Readonly<Partial<Record<ConnectionEnd, number>>>;
  /** Shortest time for which one that was closed as idle had been quiet. */
  readonly shortestIdleMilliseconds?: number;
}

/**
 * The connections of an HTTP server for callers and the answers that each still
 * waits for. An answer is in flight until the system has taken its last byte;
 * the server of Node.js takes a connection for idle from `response.end()` on,
 * although the answer may still wait for a caller that reads slowly.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly ends = new Map<ConnectionEnd, number>();
  private shortestIdleMilliseconds: number | undefined;
  private closingTimer: NodeJS.Timeout | undefined;
  private isEnding = false;

  constructor(private readonly server: Server) {
    server.on('connection', socket => this.trackSocket(socket));
    server.prependListener('request', ({socket}, response) =>
      this.trackAnswer(socket, response),
    );
    // Without a listener the server destroys the connection at once, although
    // the next request may lie unread in it.
    server.on('timeout', socket => void this.closeTimedOut(socket));
  }

  /** Number of requests that have arrived and are not fully answered. */
  get answersInFlight(): number {
    let count = 0;
    for (const {openAnswers} of this.connections.values())
      count += openAnswers.length;
    return count;
  }

  /**
   * Whether a request is in flight or is likely to come on an open connection:
   * on one that was opened or had an answer a moment ago.
   */
  get isBusy(): boolean {
    for (const connection of this.connections.values()) {
      if (connection.isWaiting) return true;
      if (!connection.isClosing && !connection.isQuiet) return true;
    }
    return false;
  }

  /** Whether answers to requests that came by then may not have been read. */
  isServingSince(milliseconds: number): boolean {
    for (const connection of this.connections.values())
      if (connection.isServingSince(milliseconds)) return true;
    return false;
  }

  /** Connections that have ended since `beginClosingIdle`. */
  get summary(): ConnectionSummary {
    return {
      ends: Object.fromEntries(this.ends),
      shortestIdleMilliseconds: this.shortestIdleMilliseconds,
    };
  }

  /** Answers that are not yet with the system, in the order of connections. */
  *openAnswers(): Generator<ServerResponse> {
    for (const {openAnswers} of this.connections.values()) yield* openAnswers;
  }

  /**
   * From now on answers announce the end of their connection, and connections
   * that have had a request and have been quiet for some time are closed. Those
   * whose last answer did not announce it stay open for the next request.
   */
  beginClosingIdle(): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.ends.clear();
    this.shortestIdleMilliseconds = undefined;
    for (const connection of this.connections.values())
      announceEnd(connection.openAnswers);
    this.closingTimer = setInterval(
      () => void this.closeQuiet(),
      CLOSE_INTERVAL_MILLISECONDS,
    );
  }

  /**
   * Stops accepting connections; open ones stay. `close` of an HTTP server would
   * also close those whose answers wait for a slow reader. Connections that the
   * system has opened and that were not accepted yet are reset.
   */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
  }

  /**
   * Closes a connection without a reset, after what has been written to it.
   * Call it for answers that were not written by the HTTP server.
   */
  closeAfterAnswer(socket: Socket): void {
    const connection = this.connections.get(socket);
    connection?.closeLingering(ConnectionEnd.ANNOUNCED, LINGER_MILLISECONDS);
  }

  /**
   * Closes all connections that have had a request and have none in flight, waits
   * until the callers have closed theirs, and closes what is left. The caller of
   * one that has had no request was given no sign that none is read any more.
   */
  async closeAll(lingerMilliseconds = LINGER_MILLISECONDS): Promise<void> {
    const endsAt = performance.now() + lingerMilliseconds;
    while (this.connections.size > 0 && performance.now() < endsAt) {
      // What has arrived by now is read, and answered, meanwhile.
      await delay(CLOSED_POLL_MILLISECONDS);
      for (const connection of this.connections.values())
        if (connection.hasCarriedRequest) this.closeIdle(connection);
    }
    for (const connection of this.connections.values())
      if (!connection.isClosing) this.recordIdle(connection);
    this.destroyAll();
  }

  /** Closes all connections, including those with requests in flight. */
  destroyAll(): void {
    clearInterval(this.closingTimer);
    for (const connection of this.connections.values()) connection.destroy();
  }

  /** Closes the connections that have been quiet, once their input is read. */
  private async closeQuiet(): Promise<void> {
    await turnQueue.nextTurn();
    for (const connection of this.connections.values()) {
      const {hasCarriedRequest, isQuiet} = connection;
      if (hasCarriedRequest && isQuiet) this.closeIdle(connection);
    }
  }

  private async closeTimedOut(socket: Socket): Promise<void> {
    const {bytesRead} = socket;
    await turnQueue.nextTurn();
    const connection = this.connections.get(socket);
    if (connection && socket.bytesRead === bytesRead)
      this.closeIdle(connection);
  }

  private closeIdle(connection: CallerConnection): void {
    const {isWaiting, isClosing} = connection;
    if (isClosing || isWaiting) return;
    this.recordIdle(connection);
    connection.closeLingering(ConnectionEnd.IDLE, LINGER_MILLISECONDS);
  }

  private recordIdle({quietMilliseconds, isWaiting}: CallerConnection): void {
    if (isWaiting) return;
    this.shortestIdleMilliseconds = Math.min(
      this.shortestIdleMilliseconds ?? Infinity,
      quietMilliseconds,
    );
  }

  private trackSocket(socket: Socket): void {
    const connection = new CallerConnection(socket);
    this.connections.set(socket, connection);
    const destroySoon = socket.destroySoon.bind(socket);
    // The HTTP server calls it after an answer that announced the end.
    socket.destroySoon = () => {
      if (connection.openAnswers.length > 1) destroySoon();
      else this.closeAfterAnswer(socket);
    };
    socket.once('close', () => {
      this.connections.delete(socket);
      const {endReason} = connection;
      this.ends.set(endReason, (this.ends.get(endReason) ?? 0) + 1);
    });
  }

  private trackAnswer(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    connection?.addAnswer(response);
    if (connection && this.isEnding) announceEnd(connection.openAnswers);
  }
}

/**
 * Lets the last answer of a connection announce its end; those before it must
 * not, or a pipelined request would stay without an answer.
 */
function announceEnd(answers: readonly ServerResponse[]): void {
  const last = answers.at(-1);
  for (const answer of answers) {
    if (answer.headersSent) continue;
    if (answer === last) answer.setHeader('connection', 'close');
    else answer.removeHeader('connection');
  }
}
