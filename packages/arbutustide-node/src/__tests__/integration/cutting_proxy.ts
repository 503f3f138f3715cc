import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** How a connection ends after its last byte. */
export enum CutEnd {
  CLOSE = 'closed',
  RESET = 'reset',
}

/** Passes bytes on to a port of this host until it cuts a connection. */
export class CuttingProxy {
  /** Bytes that the target has sent and that were passed on. */
  passedBytes = 0;
  private readonly server = createServer(socket => this.relay(socket));
  private readonly openSockets = new Set<Socket>();
  private remainingBytes = Infinity;
  private end = CutEnd.CLOSE;

  constructor(private readonly targetPort: number) {}

  /** Resolves to the URL of the proxy. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Cuts the connection after so many more bytes of the target. */
  cutAfter(bytes: number, end: CutEnd): void {
    this.remainingBytes = bytes;
    this.end = end;
  }

  close(): void {
    this.server.close();
    for (const socket of this.openSockets) socket.destroy();
  }

  private relay(socket: Socket): void {
    const target = connect(this.targetPort, '127.0.0.1');
    for (const each of [socket, target]) {
      this.openSockets.add(each);
      each.on('error', () => {});
      each.on('close', () => this.openSockets.delete(each));
    }
    socket.pipe(target);
    target.on('data', (chunk: Buffer) => this.passOn(chunk, socket, target));
  }

  private passOn(chunk: Buffer, socket: Socket, target: Socket): void {
    const passed = chunk.subarray(0, this.remainingBytes);
    this.passedBytes += passed.length;
    this.remainingBytes -= passed.length;
    socket.write(passed);
    if (passed.length === chunk.length) return;
    target.removeAllListeners('data');
    target.destroy();
    if (this.end === CutEnd.CLOSE) socket.end();
    else socket.resetAndDestroy();
  }
}
