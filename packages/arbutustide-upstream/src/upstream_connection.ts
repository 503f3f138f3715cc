import type {Socket} from 'node:net';
import type {Client, Dispatcher, buildConnector} from 'undici';

import type {WriteGuard} from './checked_client.js';

import {INVALID_STATUS_CODE, StatusLineCheck} from './answer_status.js';
import {CheckedClient} from './checked_client.js';

/**
 * Bytes of an answer that may be no payload: its head, framing as large as the
 * payload, and what the stages in between have buffered.
 */
const MAXIMUM_OVERHEAD_BYTES = 256 * 1_024;

/** Answers with these statuses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Receives the connection that carries a request, and how it ended. The request
 * passes it to undici as its `opaque` value.
 */
export interface ConnectionHolder extends WriteGuard {
  connection: UpstreamConnection | undefined;
  /** Whether the connection was reset before another request was sent on it. */
  wasReset: boolean;
}

/** Returns what a request passes to undici as its `opaque` value. */
export function createConnectionHolder(guard?: WriteGuard): ConnectionHolder {
  return {
    connection: undefined,
    wasReset: false,
    beforeWrite: () => guard?.beforeWrite(),
  };
}

/**
 * Whether an answer shows its own end. If it does not, it ends with its
 * connection, and is whole only if that ends regularly.
 *
 * @param header value of a header, by its lower-case name.
 */
export function isSelfDelimiting(
  status: number,
  header: (name: string) => string | undefined,
): boolean {
  if (BODILESS_STATUSES.has(status)) return true;
  const codings = header('transfer-encoding');
  if (codings === undefined) return header('content-length') !== undefined;
  return /(^|,)\s*chunked\s*$/i.test(codings);
}

/**
 * One connection to an upstream that records whether it was reset. undici
 * reports a reset as the regular end of an answer that has no length.
 */
export class UpstreamConnection extends CheckedClient {
  private holder: ConnectionHolder | undefined;
  private socket: Socket | undefined;
  private bytesReadBeforeResponse = 0;
  private payloadBytes = 0;
  private statusLineCheck = new StatusLineCheck();

  /** @param options as a pool passes them, with `connect` as a function. */
  constructor(origin: string | URL, options: Client.Options) {
    const openSocket = options.connect as buildConnector.connector;
    super(origin, {
      ...options,
      connect: (connectOptions, callback) => {
        openSocket(connectOptions, (...result) => {
          const [error, socket] = result;
          if (!error && socket) this.watchSocket(socket);
          callback(...result);
        });
      },
    });
  }

  /** Counts bytes of the answer's body as received. */
  recordPayload(bytes: number): void {
    this.payloadBytes += bytes;
  }

  /**
   * Closes the socket, because what arrives on it can no longer be matched with
   * requests. The next request opens another one.
   */
  closeSocket(): void {
    this.socket?.destroy();
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & {opaque?: unknown},
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.holder = options.opaque as ConnectionHolder | undefined;
    if (this.holder) this.holder.connection = this;
    this.bytesReadBeforeResponse = this.socket?.bytesRead ?? 0;
    this.payloadBytes = 0;
    this.statusLineCheck = new StatusLineCheck();
    return super.dispatch(options, handler);
  }

  private watchSocket(socket: Socket): void {
    this.socket = socket;
    if (this.holder) this.holder.wasReset = false;
    this.bytesReadBeforeResponse = 0;
    socket.on('readable', () => this.limitOverhead(socket));
    this.checkStatusLines(socket);
    this.detectResets(socket);
  }

  /** Checks what undici reads before its HTTP parser sees it. */
  private checkStatusLines(socket: Socket): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      const bytes = read(size) as Buffer | null;
      const problem = bytes && this.statusLineCheck.push(bytes);
      if (!problem) return bytes;
      const cause: NodeJS.ErrnoException = new Error(problem);
      cause.code = INVALID_STATUS_CODE;
      socket.destroy(cause);
      return null;
    };
  }

  /**
   * Ends an answer without end whose bytes reach nobody: status lines, interim
   * answers and chunk extensions are skipped by the HTTP parser.
   */
  private limitOverhead(socket: Socket): void {
    const received = socket.bytesRead - this.bytesReadBeforeResponse;
    const overhead = received - this.payloadBytes;
    if (overhead <= MAXIMUM_OVERHEAD_BYTES + this.payloadBytes) return;
    const cause: NodeJS.ErrnoException = new Error(
      `${overhead} bytes of an answer are neither head nor body`,
    );
    cause.code = 'UPSTREAM_OVERFLOW';
    socket.destroy(cause);
  }

  private detectResets(socket: Socket): void {
    // undici treats ECONNRESET as the end of the answer; with another code it
    // reports an error.
    socket.on('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code !== 'ECONNRESET') return;
      this.recordReset();
      cause.code = 'UPSTREAM_RESET';
    });
    // A reset right after the last bytes is emitted as 'end'; unlike a regular
    // end it leaves the socket without a remote address.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.recordReset();
    });
  }

  private recordReset(): void {
    if (this.holder) this.holder.wasReset = true;
  }
}
