import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {Server as NetServer} from 'node:net';

/** Interval at which connections that became idle are closed. */
const CLOSE_INTERVAL_MILLISECONDS = 20;

/**
 * The connections of an HTTP server for callers and the answers that each still
 * waits for. An answer is in flight until the system has taken its last byte;
 * the server of Node.js takes a connection for idle from `response.end()` on,
 * although the answer may still wait for a caller that reads slowly.
 */
export class CallerConnections {
  private readonly answersBySocket = new Map<Socket, Set<ServerResponse>>();
  /** Connections that have carried a request. */
  private readonly usedSockets = new WeakSet<Socket>();
  private closingTimer: NodeJS.Timeout | undefined;

  constructor(private readonly server: Server) {
    server.on('connection', socket => this.trackSocket(socket));
    server.prependListener('request', ({socket}, response) =>
      this.trackAnswer(socket, response),
    );
  }

  /** Number of requests that have arrived and are not fully answered. */
  get answersInFlight(): number {
    let count = 0;
    for (const answers of this.answersBySocket.values()) count += answers.size;
    return count;
  }

  /** Answers that are not yet with the system, in the order of connections. */
  *openAnswers(): Generator<ServerResponse> {
    for (const answers of this.answersBySocket.values()) yield* answers;
  }

  /**
   * From now on closes each connection that has no request in flight and has had
   * one. Answers that began before a shutdown carry no `connection: close`, so
   * their callers may otherwise send another request late in it.
   */
  beginClosingIdle(): void {
    this.closeIdle();
    this.closingTimer ??= setInterval(
      () => this.closeIdle(),
      CLOSE_INTERVAL_MILLISECONDS,
    );
  }

  /**
   * Stops accepting connections; open ones stay. `close` of an HTTP server would
   * also close those whose answers wait for a slow reader.
   */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
  }

  /** Stops accepting connections and waits until the callers' have closed. */
  async drain(): Promise<void> {
    this.beginClosingIdle();
    const closed = once(this.server, 'close');
    this.stopListening();
    await closed;
    this.stopClosingIdle();
  }

  /** Closes all connections, including those with requests in flight. */
  destroyAll(): void {
    this.stopClosingIdle();
    for (const socket of this.answersBySocket.keys()) socket.destroy();
  }

  private stopClosingIdle(): void {
    clearInterval(this.closingTimer);
    this.closingTimer = undefined;
  }

  private closeIdle(): void {
    for (const [socket, answers] of this.answersBySocket) {
      if (answers.size === 0 && this.usedSockets.has(socket)) socket.destroy();
    }
  }

  private trackSocket(socket: Socket): void {
    this.answersBySocket.set(socket, new Set());
    socket.once('close', () => this.answersBySocket.delete(socket));
  }

  private trackAnswer(socket: Socket, response: ServerResponse): void {
    this.usedSockets.add(socket);
    const answers = this.answersBySocket.get(socket);
    answers?.add(response);
    response.once('close', () => answers?.delete(response));
  }
}
