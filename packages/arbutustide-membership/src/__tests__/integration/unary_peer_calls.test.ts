/**
 * Guards against calls that nodes of another build do not understand, that end
 * without saying why, or that leave work behind after their answer.
 */
import type {Http2Server, ServerHttp2Stream} from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {Result} from 'ts-results';

import type {PeerRoutes} from '../../peer_routes.js';
import type {PeerError, PeerHandler} from '../../peer_transport.js';

import {once} from 'node:events';
import {connect, createServer} from 'node:http2';

import {create, toBinary} from '@bufbuild/protobuf';
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import {
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ConnectPeerServer} from '../../connect_peer_server.js';
import {ConnectPeerTransport} from '../../connect_peer_transport.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  MembershipService,
} from '../../gen/arbutustide/membership/v1/membership_pb.js';
import {
  COMPRESSION_MINIMUM_BYTES,
  PEER_COMPRESSION,
} from '../../peer_compression.js';

const ADDRESS = '127.0.0.1';
const TIMEOUT_MILLISECONDS = 300;
const LARGE_VECTOR = 'node 1\n'.repeat(COMPRESSION_MINIMUM_BYTES);
const VECTORS = {'a small': 'node 1', 'a compressed': LARGE_VECTOR};

const CUT_ANSWER = toBinary(
  ExchangeResponseSchema,
  create(ExchangeResponseSchema, {sender: 'node'}),
);

/** Answers an exchange with the vector of its request. */
const echo: Pick<PeerHandler, 'exchange'> = {
  exchange: ({vector}) => create(ExchangeResponseSchema, {vector}),
};

function errorOf(result: Result<unknown, PeerError>): PeerError {
  if (result.ok) throw new Error('the call did not fail');
  return result.val;
}

describe('a unary call between peers', () => {
  const closers: (() => unknown)[] = [];

  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  async function startServer(
    handler: Partial<PeerHandler> = echo,
  ): Promise<string> {
    const server = new ConnectPeerServer(() => handler as PeerHandler);
    const port = await server.listen(ADDRESS, 0);
    closers.push(() => server.close());
    return `http://${ADDRESS}:${port}`;
  }

  async function listen(server: Http2Server): Promise<string> {
    server.listen(0, ADDRESS);
    await once(server, 'listening');
    closers.push(() => server.close());
    const {port} = server.address() as AddressInfo;
    return `http://${ADDRESS}:${port}`;
  }

  /** A server of the library only, as earlier builds run it. */
  function startLibraryServer(routes: Partial<PeerRoutes>): Promise<string> {
    const server = createServer(
      connectNodeAdapter({
        acceptCompression: [PEER_COMPRESSION],
        compressMinBytes: COMPRESSION_MINIMUM_BYTES,
        routes: router => router.service(MembershipService, routes),
      }),
    );
    return listen(server);
  }

  function createTransport(url: string): ConnectPeerTransport {
    const transport = new ConnectPeerTransport(TIMEOUT_MILLISECONDS, () => {});
    closers.unshift(() => transport.dropClient(url));
    return transport;
  }

  for (const [size, vector] of Object.entries(VECTORS)) {
    const request = create(ExchangeRequestSchema, {vector});

    it(`carries ${size} message`, async () => {
      const url = await startServer();
      const answer = await createTransport(url).exchange(url, request);
      expect(answer.unwrap().vector).to.equal(vector);
    });

    it(`carries ${size} message to a server of the library`, async () => {
      const url = await startLibraryServer(echo);
      const answer = await createTransport(url).exchange(url, request);
      expect(answer.unwrap().vector).to.equal(vector);
    });

    it(`carries ${size} message from a client of the library`, async () => {
      const url = await startServer();
      const client = createClient(
        MembershipService,
        createConnectTransport({
          baseUrl: url,
          httpVersion: '2',
          acceptCompression: [PEER_COMPRESSION],
          sendCompression: PEER_COMPRESSION,
          compressMinBytes: COMPRESSION_MINIMUM_BYTES,
        }),
      );
      const answer = await client.exchange(request);
      expect(answer.vector).to.equal(vector);
    });
  }

  it('tells why the handler failed', async () => {
    const url = await startServer({
      exchange: () => {
        throw new ConnectError('not now', Code.Unavailable);
      },
    });
    const answer = await createTransport(url).exchange(
      url,
      create(ExchangeRequestSchema),
    );
    expect(errorOf(answer).message).to.contain('not now');
    expect(errorOf(answer).isRefused).to.equal(false);
  });

  it('fails at a peer that does not know the method', async () => {
    const url = await startLibraryServer({});
    const answer = await createTransport(url).requestHoldings(url, []);
    expect(errorOf(answer).message).to.match(/unimplemented/i);
  });

  it('fails at an answer that is malformed', async () => {
    const server = createServer();
    server.on('stream', stream => {
      stream.respond({':status': 200, 'content-type': 'application/proto'});
      stream.end('no message');
    });
    const url = await listen(server);
    const answer = await createTransport(url).exchange(
      url,
      create(ExchangeRequestSchema),
    );
    expect(answer.err).to.equal(true);
  });

  const CUTS = {
    stream: (stream: ServerHttp2Stream) => stream.destroy(new Error('cut')),
    connection: (stream: ServerHttp2Stream) => stream.session?.destroy(),
  };
  for (const [cutName, cut] of Object.entries(CUTS)) {
    it(`fails, and goes on at the next call, when the ${cutName} is cut`, async () => {
      const server = createServer();
      let count = 0;
      server.on('stream', stream => {
        stream.on('error', () => {});
        stream.respond({':status': 200, 'content-type': 'application/proto'});
        count += 1;
        if (count > 1) stream.end();
        // Whole fields of a message, so that only the cut tells.
        else stream.write(CUT_ANSWER, () => cut(stream));
      });
      const url = await listen(server);
      const transport = createTransport(url);
      const request = create(ExchangeRequestSchema);
      expect((await transport.exchange(url, request)).err).to.equal(true);
      expect((await transport.exchange(url, request)).ok).to.equal(true);
    });
  }

  it('ends when its answer does not come, or does not end', async () => {
    const server = createServer();
    const closed = once(server, 'peer call closed');
    server.on('stream', stream => {
      stream.on('error', () => {});
      stream.once('close', () => server.emit('peer call closed'));
      stream.respond({':status': 200, 'content-type': 'application/proto'});
      const timer = setInterval(() => stream.write('more'), 10);
      stream.once('close', () => clearInterval(timer));
    });
    const url = await listen(server);
    const startedAt = performance.now();
    const answer = await createTransport(url).exchange(
      url,
      create(ExchangeRequestSchema),
    );
    expect(answer.err).to.equal(true);
    expect(performance.now() - startedAt).to.be.above(TIMEOUT_MILLISECONDS / 2);
    await closed;
  });

  it('leaves no timer behind when it is answered', async () => {
    const url = await startServer();
    const transport = createTransport(url);
    const request = create(ExchangeRequestSchema);
    const clock = install({toFake: ['setTimeout', 'clearTimeout']});
    closers.push(() => clock.uninstall());
    await transport.exchange(url, request);
    const count = clock.countTimers();
    for (let call = 0; call < 5; call += 1)
      await transport.exchange(url, request);
    expect(clock.countTimers()).to.equal(count);
  });

  it('refuses a message in an unknown encoding', async () => {
    const url = await startServer();
    const {statusCode, body} = await post(url, 'br');
    expect(statusCode).to.be.at.least(400);
    expect(body).to.contain('unknown encoding');
  });

  /** Sends an exchange in an encoding that no peer uses. */
  async function post(
    url: string,
    encoding: string,
  ): Promise<{readonly statusCode: number; readonly body: string}> {
    const session = connect(url);
    closers.unshift(() => session.close());
    const stream = session.request({
      ':method': 'POST',
      ':path': `/${MembershipService.typeName}/Exchange`,
      'content-type': 'application/proto',
      'accept-encoding': 'gzip',
      'content-encoding': encoding,
    });
    stream.end('message');
    const [headers] = await once(stream, 'response');
    const chunks: Buffer[] = [];
    for await (const chunk of stream) chunks.push(chunk as Buffer);
    return {
      statusCode: Number(headers[':status']),
      body: Buffer.concat(chunks).toString(),
    };
  }
});
