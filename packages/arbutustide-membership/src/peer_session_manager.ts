import type {createConnectTransport} from '@connectrpc/connect-node';
import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import type {PeerSessionOptions} from './peer_session.js';

import {PeerSession} from './peer_session.js';

/** The library does not export the name of the interface. */
type NodeHttp2ClientSessionManager = NonNullable<
  Extract<
    Parameters<typeof createConnectTransport>[0],
    {readonly httpVersion: '2'}
  >['sessionManager']
>;

/**
 * Connections that are tried for one request. More than one, as the peer may
 * close a connection just before the request is sent on it.
 */
const MAXIMUM_CONNECTIONS = 3;

/**
 * Manages the connection with one peer: opens it for the first request, and
 * another one when it has failed, is silent or is closed by the peer. Requests
 * on an earlier connection go on there.
 */
export class PeerSessionManager implements NodeHttp2ClientSessionManager {
  readonly authority: string;
  private current: PeerSession | undefined;
  private readonly sessionByStream = new WeakMap<
    ClientHttp2Stream,
    PeerSession
  >();

  /** @param onError called when an open connection has failed. */
  constructor(
    peerUrl: string,
    private readonly options: PeerSessionOptions,
    private readonly onError: (error: Error) => void,
  ) {
    this.authority = new URL(peerUrl).origin;
  }

  /** @throws if no connection can be opened; the library expects it so. */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    let failure: Error | undefined;
    for (let count = 0; count < MAXIMUM_CONNECTIONS; count += 1) {
      const session = this.usableSession();
      if (await session.prepare()) {
        const stream = session.request(
          {...headers, ':method': method, ':path': path},
          options,
        );
        this.sessionByStream.set(stream, session);
        return stream;
      }
      failure = session.failure;
      if (session.hasNeverOpened) break;
    }
    throw failure ?? new Error('the peer closes its connections');
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.sessionByStream.get(stream)?.recordAlive();
  }

  /** Closes the connection when its last request has ended. */
  close(): void {
    this.current?.close();
  }

  private usableSession(): PeerSession {
    if (!this.current?.isUsable)
      this.current = new PeerSession(
        this.authority,
        this.options,
        this.onError,
      );
    return this.current;
  }
}
