/**
 * Guards against a planned stop that cuts off answers which wait for a caller
 * that reads slowly, and against connections that stay open without a request.
 */
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {CallerConnections} from '../../caller_connections.js';

/** More than the buffers of a loopback connection take. */
const ANSWER_BYTES = 16 * 1_024 * 1_024;
const PAUSE_MILLISECONDS = 300;
const REQUEST = 'GET / HTTP/1.1\r\nhost: host\r\n\r\n';

describe('connections of callers in a planned stop', () => {
  let server: Server;
  let connections: CallerConnections;
  let answerBytes: number;

  beforeEach(async () => {
    answerBytes = ANSWER_BYTES;
    server = createServer((_request, response) =>
      response.end(Buffer.alloc(answerBytes)),
    );
    connections = new CallerConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    connections.destroyAll();
    server.close();
  });

  async function open(): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  }

  async function readAll(socket: Socket): Promise<number> {
    let bytes = 0;
    for await (const chunk of socket) bytes += (chunk as Buffer).length;
    return bytes;
  }

  it('stay open until a slow reader has its whole answer', async () => {
    const socket = await open();
    socket.pause();
    socket.write(REQUEST);
    await once(server, 'request');
    connections.beginClosingIdle();
    connections.stopListening();
    await delay(PAUSE_MILLISECONDS);
    expect(connections.answersInFlight).to.equal(1);
    expect(await readAll(socket)).to.be.greaterThan(ANSWER_BYTES);
    expect(connections.answersInFlight).to.equal(0);
  });

  it('are closed once they have had a request and wait for none', async () => {
    answerBytes = 1;
    const socket = await open();
    socket.write(REQUEST);
    await once(socket, 'data');
    connections.beginClosingIdle();
    socket.resume();
    await once(socket, 'close');
  });

  it('that wait for their first request stay', async () => {
    answerBytes = 1;
    const socket = await open();
    connections.beginClosingIdle();
    await delay(PAUSE_MILLISECONDS);
    socket.write(REQUEST);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    expect(answer.toString()).to.match(/^HTTP\/1.1 200/);
    socket.destroy();
  });

  it('answer a first request that comes while the last ones are closed', async () => {
    answerBytes = 1;
    const socket = await open();
    connections.beginClosingIdle();
    connections.stopListening();
    const closed = connections.closeAll();
    await delay(PAUSE_MILLISECONDS);
    socket.write(REQUEST);
    const answer = await Promise.race([
      once(socket, 'data').then(([chunk]) => String(chunk)),
      once(socket, 'end').then(() => 'the end'),
    ]);
    expect(answer).to.match(/^HTTP\/1.1 200/);
    socket.destroy();
    await closed;
  });
});
