import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** Passes bytes on to a port of this host until its connections are silenced. */
export class SilencingProxy {
  private readonly server = createServer(socket => this.relay(socket));
  private readonly openSockets = new Set<Socket>();
  private passesOnNewConnections = true;

  constructor(private readonly targetPort: number) {}

  /** Resolves to the URL of the proxy. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  silenceOpenConnections(): void {
    for (const socket of this.openSockets) socket.unpipe();
    for (const socket of this.openSockets) socket.pause();
  }

  silenceAllConnections(): void {
    this.passesOnNewConnections = false;
    this.silenceOpenConnections();
  }

  close(): void {
    this.server.close();
    for (const socket of this.openSockets) socket.destroy();
  }

  /** Closes the proxy, and its open connections by a reset. */
  reset(): void {
    this.server.close();
    for (const socket of this.openSockets) socket.resetAndDestroy();
  }

  private relay(socket: Socket): void {
    this.track(socket);
    if (!this.passesOnNewConnections) return;
    const target = connect(this.targetPort, '127.0.0.1');
    this.track(target);
    socket.pipe(target);
    target.pipe(socket);
  }

  private track(socket: Socket): void {
    this.openSockets.add(socket);
    socket.on('error', () => {});
  }
}
