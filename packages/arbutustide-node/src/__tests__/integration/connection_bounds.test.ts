/**
 * Guards against clients that make a server hold more and more: requests sent
 * ahead whose answers they do not read, and connections without a request.
 */
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import type {ConnectionBoundsOptions} from '../../bounds/connection_bounds.js';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {BoundName, ServerName} from '../../bounds/bound_recorder.js';
import {ConnectionBounds} from '../../bounds/connection_bounds.js';
import {CallerConnections} from '../../caller_connections.js';

const BOUNDS = {
  connections: 20,
  requestsPerConnection: 8,
  requests: 40,
  unreadBytes: 4 * 1_024 * 1_024,
};
/** More short requests than the server reads at once. */
const MANY_REQUESTS = 5_000;
const SETTLE_MILLISECONDS = 200;
const REQUEST = formatRequest('/');
const UPGRADE =
  'GET / HTTP/1.1\r\nhost: a\r\nupgrade: b\r\nconnection: keep-alive, upgrade\r\n\r\n';

function formatRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: host\r\n\r\n`;
}

describe('bounds on what the clients of a server make it hold', () => {
  let server: Server;
  let bounds: ConnectionBounds;
  let reached: BoundName[];
  let served: ServerResponse[];
  let closedCount: number;
  let answer: (response: ServerResponse) => void;
  let sockets: Socket[];

  beforeEach(() => {
    reached = [];
    served = [];
    sockets = [];
    closedCount = 0;
    answer = response => void response.end(response.req.url);
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  async function listen(
    options: Partial<ConnectionBoundsOptions> = {},
  ): Promise<void> {
    server = createServer((message, response) => {
      response.once('close', () => (closedCount += 1));
      if (!bounds.admit(message, response)) return;
      served.push(response);
      answer(response);
    });
    const connections = new CallerConnections(server);
    bounds = new ConnectionBounds(server, {
      name: ServerName.CALLERS,
      bounds: BOUNDS,
      recorder: {record: (_server, bound) => void reached.push(bound)},
      close: socket => connections.closeAfterAnswer(socket),
      refuse: (_message, response) => {
        response.writeHead(503, {connection: 'close'});
        response.end();
      },
      ...options,
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }

  async function open(text = ''): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => {});
    await once(socket, 'connect');
    socket.write(text);
    return socket;
  }

  async function openMany(count: number, text = ''): Promise<Socket[]> {
    const opened: Socket[] = [];
    for (let index = 0; index < count; index += 1)
      opened.push(await open(text));
    return opened;
  }

  async function readAll(socket: Socket): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of socket) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks).toString();
  }

  function listBodies(text: string): string[] {
    return [...text.matchAll(/\/n\d+/g)].map(([body]) => body);
  }

  /** Whether a new client gets an answer. */
  async function isServed(): Promise<boolean> {
    const socket = await open(REQUEST);
    const isAnswered = await Promise.race([
      once(socket, 'data').then(([data]) => String(data).includes(' 200 ')),
      once(socket, 'close').then(() => false),
      delay(1_000).then(() => false),
    ]);
    socket.destroy();
    return isAnswered;
  }

  for (const ahead of [1, 3, BOUNDS.requestsPerConnection])
    it(`answers a client with ${ahead} requests ahead in order`, async () => {
      answer = response =>
        void setTimeout(() => response.end(response.req.url), 1);
      await listen();
      const paths = Array.from({length: 200}, (_, index) => `/n${index}`);
      const unsent = [...paths];
      const socket = await open(
        unsent.splice(0, ahead).map(formatRequest).join(''),
      );
      let text = '';
      let answeredCount = 0;
      socket.setEncoding('utf8').on('data', (data: string) => {
        text += data;
        const bodies = listBodies(text);
        const next = unsent.splice(0, bodies.length - answeredCount);
        answeredCount = bodies.length;
        if (next.length > 0) socket.write(next.map(formatRequest).join(''));
      });
      while (served.length < paths.length) await delay(10);
      await delay(SETTLE_MILLISECONDS);
      expect(listBodies(text)).to.eql(paths);
      expect(reached).to.eql([]);
    });

  it('reads on when a request with a body comes after several', async () => {
    const bodies: string[] = [];
    answer = response => {
      const chunks: Buffer[] = [];
      response.req.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.req.on('end', () => {
        bodies.push(Buffer.concat(chunks).toString());
        setTimeout(() => response.end('/n0'), 5);
      });
    };
    await listen();
    const body = 'b'.repeat(100_000);
    const post = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`;
    const socket = await open(REQUEST.repeat(6) + post + body.slice(0, 10));
    const text = readAll(socket);
    await delay(SETTLE_MILLISECONDS);
    socket.write(body.slice(10));
    while (bodies.length < 7) await delay(10);
    await delay(SETTLE_MILLISECONDS);
    socket.end();
    expect(bodies.at(-1)).to.equal(body);
    expect(listBodies(await text).length).to.equal(7);
  });

  it('creates no more requests of a connection than the bound', async () => {
    answer = () => {};
    await listen();
    const socket = await open(REQUEST.repeat(MANY_REQUESTS));
    await delay(SETTLE_MILLISECONDS);
    expect(served.length).to.equal(BOUNDS.requestsPerConnection);
    expect(bounds.requestCount).to.equal(BOUNDS.requestsPerConnection);
    expect(reached).to.eql([BoundName.REQUESTS_PER_CONNECTION]);
    const text = readAll(socket);
    for (const response of served) response.end('/n1');
    const bodies = listBodies(await text);
    expect(bodies.length).to.equal(BOUNDS.requestsPerConnection);
    expect(served.length).to.equal(BOUNDS.requestsPerConnection);
  });

  it('owes the answers before a request to upgrade beyond the bound', async () => {
    answer = () => {};
    await listen();
    const {requestsPerConnection} = BOUNDS;
    const socket = await open(REQUEST.repeat(requestsPerConnection) + UPGRADE);
    await delay(SETTLE_MILLISECONDS);
    const text = readAll(socket);
    for (const response of served) response.end('/n1');
    expect(listBodies(await text).length).to.equal(requestsPerConnection);
  });

  it('reads nothing after a request without a host', async () => {
    answer = () => {};
    await listen();
    const socket = await open(
      REQUEST + 'GET / HTTP/1.1\r\n\r\n'.repeat(MANY_REQUESTS),
    );
    await delay(SETTLE_MILLISECONDS);
    const text = readAll(socket);
    for (const response of served) response.end('/n1');
    const answers = (await text).match(/HTTP\/1.1 \d+/g);
    expect(answers).to.eql(['HTTP/1.1 200', 'HTTP/1.1 400']);
  });

  it('lets go of what it holds when the caller leaves', async () => {
    answer = () => {};
    await listen();
    const socket = await open(REQUEST.repeat(MANY_REQUESTS));
    await delay(SETTLE_MILLISECONDS);
    socket.resetAndDestroy();
    served[0].write('a');
    await delay(SETTLE_MILLISECONDS);
    served[0].write('a');
    await delay(SETTLE_MILLISECONDS);
    expect(bounds.requestCount).to.equal(0);
    expect(bounds.connectionCount).to.equal(0);
    expect(closedCount).to.equal(BOUNDS.requestsPerConnection);
  });

  it('refuses requests beyond the bound of the server at once', async () => {
    answer = () => {};
    await listen({bounds: {...BOUNDS, connections: 2 * BOUNDS.requests}});
    const crowd = await openMany(BOUNDS.requests, REQUEST);
    while (served.length < BOUNDS.requests) await delay(10);
    const socket = await open(REQUEST);
    expect(await readAll(socket)).to.include(' 503 ');
    expect(reached).to.eql([BoundName.REQUESTS]);
    for (const response of served) response.end();
    for (const each of crowd) each.resume();
    await delay(SETTLE_MILLISECONDS);
    expect(bounds.requestCount).to.equal(0);
    answer = response => void response.end();
    expect(await isServed()).to.equal(true);
  });

  it('keeps room for connections that wait for one answer', async () => {
    answer = () => {};
    await listen();
    await openMany(10, REQUEST.repeat(BOUNDS.requestsPerConnection));
    await delay(SETTLE_MILLISECONDS);
    expect(reached).to.include(BoundName.REQUESTS);
    answer = response => void response.end();
    expect(await isServed()).to.equal(true);
  });

  it('replaces idle connections, the quietest first', async () => {
    await listen();
    const used = await open(REQUEST);
    await once(used, 'data');
    const idle = await openMany(5 * BOUNDS.connections);
    for (const each of idle) each.resume();
    await delay(SETTLE_MILLISECONDS);
    expect(bounds.connectionCount).to.be.at.most(BOUNDS.connections + 32);
    expect(reached).to.include(BoundName.CONNECTIONS);
    expect(await isServed()).to.equal(true);
    expect(idle[0].readableEnded || idle[0].destroyed).to.equal(true);
    expect(idle.at(-1)?.destroyed).to.equal(false);
  });

  it('replaces connections that never had a request before others', async () => {
    await listen();
    const used = await open(REQUEST);
    await once(used, 'data');
    const crowd = await openMany(BOUNDS.connections - 1);
    for (const each of crowd) each.resume();
    await delay(1_100);
    await openMany(5);
    await delay(SETTLE_MILLISECONDS);
    used.write(REQUEST);
    expect(String(await once(used, 'data'))).to.include(' 200 ');
  });

  it('closes a new connection when all others wait for answers', async () => {
    answer = () => {};
    await listen();
    await openMany(BOUNDS.connections, REQUEST);
    while (served.length < BOUNDS.connections) await delay(10);
    const socket = await open(REQUEST);
    socket.resume();
    await once(socket, 'close');
    expect(served.length).to.equal(BOUNDS.connections);
    expect(bounds.connectionCount).to.equal(BOUNDS.connections);
  });

  it('replaces connections that leave answers unread where none waits', async () => {
    await listen({replacesWaiting: true});
    answer = response => void response.end(Buffer.alloc(16 * 1_024 * 1_024));
    const crowd = await openMany(BOUNDS.connections, REQUEST);
    for (const each of crowd) each.pause();
    while (served.length < BOUNDS.connections) await delay(10);
    answer = response => void response.end();
    expect(await isServed()).to.equal(true);
  });

  it('closes the connections with the most unread bytes', async () => {
    const sizes = [32 * 1_024 * 1_024, 64 * 1_024 * 1_024];
    answer = response => void response.end(Buffer.alloc(sizes.pop() ?? 2));
    await listen();
    const crowd = await openMany(2, REQUEST);
    for (const each of crowd) each.pause();
    while (reached.length < 2) await delay(50);
    expect(reached).to.eql([BoundName.UNREAD_BYTES, BoundName.UNREAD_BYTES]);
    expect(await isServed()).to.equal(true);
  });

  it('closes a connection that does not take its last answers', async () => {
    answer = response => void response.end(Buffer.alloc(8 * 1_024 * 1_024));
    await listen({bounds: {...BOUNDS, unreadBytes: Infinity}});
    const socket = await open(REQUEST.repeat(MANY_REQUESTS));
    socket.pause();
    await delay(11_500);
    expect(bounds.connectionCount).to.equal(0);
    expect(bounds.requestCount).to.equal(0);
  });
});
