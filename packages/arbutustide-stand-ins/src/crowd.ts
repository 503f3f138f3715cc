import type {Socket, TcpNetConnectOpts} from 'node:net';

import {once, setMaxListeners} from 'node:events';
import {connect} from 'node:net';

import {delay} from '@arbutustide/errors';

/** What each client of a crowd sends. */
export interface CrowdOptions {
  readonly clientCount: number;
  /** Sent first on each connection. */
  readonly opening: string;
  /** Sent again and again after it; empty to send nothing more. */
  readonly repeated: string;
  /** Bytes that a client sends on all its connections. */
  readonly bytesPerClient: number;
}

const WRITE_BYTES = 65_536;
const RECONNECT_MILLISECONDS = 100;

/** Clients that write and never read, and come back when they are closed. */
export class Crowd {
  private readonly leaving = new AbortController();
  private readonly sockets = new Set<Socket>();
  private readonly piece: Buffer;

  constructor(
    private readonly target: TcpNetConnectOpts,
    private readonly options: CrowdOptions,
  ) {
    const {repeated} = options;
    const count = Math.ceil(WRITE_BYTES / Math.max(1, repeated.length));
    this.piece = Buffer.from(repeated.repeat(count), 'latin1');
  }

  start(): void {
    setMaxListeners(0, this.leaving.signal);
    for (let index = 0; index < this.options.clientCount; index += 1)
      void this.runClient();
  }

  /** Closes all connections. */
  leave(): void {
    this.leaving.abort();
    for (const socket of this.sockets) socket.destroy();
  }

  private async runClient(): Promise<void> {
    const {signal} = this.leaving;
    let remainingBytes = this.options.bytesPerClient;
    while (!signal.aborted) {
      remainingBytes = await this.runConnection(remainingBytes);
      if (remainingBytes <= 0) return;
      await delay(RECONNECT_MILLISECONDS, signal);
    }
  }

  /** @return the bytes that are left when the connection has ended. */
  private async runConnection(remainingBytes: number): Promise<number> {
    const {opening} = this.options;
    const socket = connect(this.target);
    this.sockets.add(socket);
    const closed = new Promise<void>(resolve => {
      socket.once('close', () => resolve());
    });
    socket.on('error', () => socket.destroy());
    let left = remainingBytes - opening.length;
    socket.write(opening, 'latin1');
    while (!socket.destroyed && this.piece.length > 0 && left > 0) {
      left -= this.piece.length;
      if (!socket.write(this.piece))
        await Promise.race([once(socket, 'drain').catch(() => {}), closed]);
    }
    await closed;
    this.sockets.delete(socket);
    return left;
  }
}
