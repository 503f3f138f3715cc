import type {Http2Server, ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';

import type {PeerHandler} from './peer_transport.js';

import {once} from 'node:events';
import {
  createServer,
  Http2ServerRequest,
  Http2ServerResponse,
} from 'node:http2';

import {connectNodeAdapter} from '@connectrpc/connect-node';

import {MembershipService} from './gen/arbutustide/membership/v1/membership_pb.js';
import {
  COMPRESSION_MINIMUM_BYTES,
  PEER_COMPRESSION,
} from './peer_compression.js';
import {createPeerRoutes} from './peer_routes.js';
import {createUnaryHandlers, isUnaryCall} from './unary_peer_server.js';

const MAXIMUM_SESSIONS = 512;
/** Requests of one session that are served at the same time. */
const MAXIMUM_STREAMS = 1_024;

/** Serves MembershipService to peers with the Connect protocol on HTTP/2. */
export class ConnectPeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  /** Without an open stream, in the order in which they became so. */
  private readonly idleSessions = new Set<ServerHttp2Session>();

  /**
   * @param handler called for each request, because the handler may be created
   *     after the server.
   * @param onSessionBound called for each session beyond the bound.
   */
  constructor(
    handler: () => PeerHandler,
    private readonly onSessionBound: () => void = () => {},
  ) {
    const routes = createPeerRoutes(handler);
    const unaryHandlers = createUnaryHandlers(routes);
    const serveOther = connectNodeAdapter({
      acceptCompression: [PEER_COMPRESSION],
      compressMinBytes: COMPRESSION_MINIMUM_BYTES,
      routes: router => router.service(MembershipService, routes),
    });
    this.server = createServer({
      settings: {maxConcurrentStreams: MAXIMUM_STREAMS},
    });
    this.server.on('stream', (stream, headers) => {
      stream.on('error', () => {});
      const serveUnary = unaryHandlers.get(headers[':path'] ?? '');
      if (serveUnary && isUnaryCall(headers)) void serveUnary(stream, headers);
      else
        serveOther(
          new Http2ServerRequest(stream, headers, {}, []),
          new Http2ServerResponse(stream),
        );
    });
    this.server.on('session', session => this.addSession(session));
  }

  /**
   * Starts to accept connections.
   *
   * @param port zero to use any free port.
   * @return the port in use.
   */
  async listen(address: string, port: number): Promise<number> {
    this.server.listen(port, address);
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and destroys the open connections. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    for (const session of this.sessions) session.destroy();
    await closed;
  }

  /** At the bound, a session takes the place of the one longest idle. */
  private addSession(session: ServerHttp2Session): void {
    if (this.sessions.size >= MAXIMUM_SESSIONS) {
      this.onSessionBound();
      const [replaced = session] = this.idleSessions;
      this.removeSession(replaced);
      replaced.destroy();
      if (replaced === session) return;
    }
    this.sessions.add(session);
    this.idleSessions.add(session);
    let openStreams = 0;
    session.on('stream', stream => {
      openStreams += 1;
      this.idleSessions.delete(session);
      stream.once('close', () => {
        openStreams -= 1;
        if (openStreams === 0 && this.sessions.has(session))
          this.idleSessions.add(session);
      });
    });
    session.on('close', () => this.removeSession(session));
  }

  private removeSession(session: ServerHttp2Session): void {
    this.sessions.delete(session);
    this.idleSessions.delete(session);
  }
}
