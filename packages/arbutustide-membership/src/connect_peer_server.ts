import type {Http2Server, ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';

import type {PeerHandler} from './peer_transport.js';

import {once} from 'node:events';
import {createServer} from 'node:http2';

import {connectNodeAdapter} from '@connectrpc/connect-node';

import {MembershipService} from './gen/arbutustide/membership/v1/membership_pb.js';
import {
  COMPRESSION_MINIMUM_BYTES,
  PEER_COMPRESSION,
} from './peer_compression.js';

/** Serves MembershipService to peers with the Connect protocol on HTTP/2. */
export class ConnectPeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();

  /**
   * @param handler called for each request, because the handler may be created
   *     after the server.
   */
  constructor(handler: () => PeerHandler) {
    const handle = connectNodeAdapter({
      acceptCompression: [PEER_COMPRESSION],
      compressMinBytes: COMPRESSION_MINIMUM_BYTES,
      routes: router => {
        router.service(MembershipService, {
          exchange: request => handler().exchange(request),
          fetchHead: ({maximumAgeMilliseconds}) => ({
            headJson: handler().catalogueHeadJson(maximumAgeMilliseconds),
          }),
          fetchContent: ({digest}) => ({
            contentJson: handler().catalogueContentJson(digest),
          }),
          requestHolding: async request => {
            const holding = await handler().requestHolding(request);
            return holding ? {promised: true, ...holding} : {promised: false};
          },
          watch: async request => {
            const response = await handler().serveWatch(request);
            return response ? {isServed: true, ...response} : {isServed: false};
          },
          recordStreamOrigins: request => {
            handler().recordStreamOrigins(request);
            return {};
          },
          relayRequest: (request, {signal}) =>
            handler().relayRequest(request, signal),
          findStreamOrigin: request => handler().findStreamOrigin(request),
          confirmConfiguration: request =>
            handler().confirmConfiguration(request),
          leaseQuota: request => handler().leaseQuota(request),
          requestToken: request => {
            const response = handler().issueToken(request);
            return response ? {isIssuer: true, ...response} : {isIssuer: false};
          },
        });
      },
    });
    this.server = createServer(handle);
    this.server.on('session', session => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
    });
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
}
