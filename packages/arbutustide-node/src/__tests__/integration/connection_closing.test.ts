/**
 * Guards against connections that a stopping node closes in the moment in which
 * their callers send the next request, and against resets that discard answers.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {CallerConnections} from '../../caller_connections.js';
import {LoopingCallers} from './callers_thread.js';

const CALLERS = 60;
/** An answer's head is sent before the stop and its end up to then. */
const LONGEST_ANSWER_MILLISECONDS = 60;
const SETTLE_MILLISECONDS = 300;
const STOP_MILLISECONDS = 900;
const ANSWER_BYTES = 1_024;
const BODY_BYTES = 65_536;
/** More than the buffers of a loopback connection take. */
const LARGE_BYTES = 16 * 1_024 * 1_024;
/** Until the caller reads what is left in the buffers. */
const TAIL_MILLISECONDS = 1_500;
const KEEP_ALIVE_MILLISECONDS = 100;
/** Longer than the server keeps an idle connection. */
const BLOCKED_MILLISECONDS = 1_300;
const REQUEST = 'GET / HTTP/1.1\r\nhost: host\r\n\r\n';

/** Sends the head at once and the end somewhat later. */
async function answerSlowly(_request: IncomingMessage, answer: ServerResponse) {
  answer.setHeader('content-length', 6);
  answer.flushHeaders();
  await delay(Math.random() * LONGEST_ANSWER_MILLISECONDS);
  answer.end('answer');
}

function blockEventLoop(milliseconds: number): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, milliseconds);
}

describe('connections that a stopping node closes', () => {
  let server: Server;
  let connections: CallerConnections;
  let answer: (request: IncomingMessage, answer: ServerResponse) => void;

  beforeEach(async () => {
    server = createServer((request, response) => answer(request, response));
    connections = new CallerConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    connections.destroyAll();
    server.close();
  });

  const getPort = () => (server.address() as AddressInfo).port;

  async function open(): Promise<Socket> {
    const socket = connect(getPort(), '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  }

  it('do not cross requests of callers in a closed loop', async () => {
    answer = (request, response) => void answerSlowly(request, response);
    const callers = new LoopingCallers(getPort(), CALLERS, REQUEST);
    try {
      await delay(SETTLE_MILLISECONDS);
      connections.beginClosingIdle();
      await delay(STOP_MILLISECONDS);
      const {answers, unanswered} = await callers.stop();
      expect(answers).to.be.greaterThan(CALLERS);
      expect(unanswered).to.equal(0);
    } finally {
      await callers.terminate();
    }
  });

  it('stay open for a request that comes soon after an answer', async () => {
    answer = (_request, response) => response.end('answer');
    const socket = await open();
    socket.write(REQUEST);
    await once(socket, 'data');
    connections.beginClosingIdle();
    await delay(SETTLE_MILLISECONDS);
    socket.write(REQUEST);
    const [text] = (await once(socket, 'data')) as [Buffer];
    expect(text.toString()).to.match(/^connection: close/im);
    socket.destroy();
  });

  it('stay open for the next request of a caller that reads slowly', async () => {
    answer = (_request, response) => response.end(Buffer.alloc(LARGE_BYTES));
    const socket = await open();
    socket.pause();
    socket.write(REQUEST);
    await once(server, 'request');
    connections.beginClosingIdle();
    await delay(SETTLE_MILLISECONDS);
    let bytes = 0;
    const read = async () => {
      bytes += (socket.read() as Buffer | null)?.length ?? 0;
      await delay(1);
    };
    while (connections.answersInFlight > 0) await read();
    await delay(TAIL_MILLISECONDS);
    while (bytes < LARGE_BYTES) await read();
    answer = (_request, response) => response.end('next answer');
    socket.write(REQUEST);
    let text = '';
    for await (const chunk of socket) text += String(chunk).slice(-100);
    expect(text).to.match(/next answer$/);
  });

  it('are counted by how they ended', async () => {
    answer = (_request, response) => response.flushHeaders();
    connections.beginClosingIdle();
    const [waiting, leaving, idle] = [await open(), await open(), await open()];
    waiting.on('error', () => {}).write(REQUEST);
    leaving.end();
    idle.resume();
    await delay(SETTLE_MILLISECONDS);
    await connections.closeAll(SETTLE_MILLISECONDS);
    await delay(SETTLE_MILLISECONDS);
    const {ends, shortestIdleMilliseconds} = connections.summary;
    expect(ends).to.eql({caller: 1, idle: 1, unsent: 1});
    expect(shortestIdleMilliseconds).to.be.at.least(SETTLE_MILLISECONDS / 2);
  });

  it('announce their end in answers whose head is not sent yet', async () => {
    answer = (_request, response) =>
      void delay(SETTLE_MILLISECONDS).then(() => response.end('answer'));
    const socket = await open();
    socket.write(REQUEST);
    await once(server, 'request');
    connections.beginClosingIdle();
    const [text] = (await once(socket, 'data')) as [Buffer];
    expect(text.toString()).to.match(/^connection: close/im);
    socket.destroy();
  });

  it('announce their end only in the last of pipelined answers', async () => {
    answer = (_request, response) =>
      void delay(SETTLE_MILLISECONDS).then(() => response.end('answer'));
    const socket = await open();
    connections.beginClosingIdle();
    socket.write(REQUEST + REQUEST);
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    expect(text.match(/answer/g)).to.have.length(2);
  });

  it('deliver an answer to a caller that still sends its body', async () => {
    answer = (_request, response) => {
      response.setHeader('connection', 'close');
      response.end(Buffer.alloc(ANSWER_BYTES));
    };
    const socket = await open();
    const errors: Error[] = [];
    socket.on('error', error => errors.push(error));
    socket.pause();
    socket.write(
      `POST / HTTP/1.1\r\nhost: host\r\ncontent-length: ${10 * BODY_BYTES}` +
        '\r\n\r\n',
    );
    for (let chunk = 0; chunk < 5; chunk += 1) {
      await delay(50);
      socket.write(Buffer.alloc(BODY_BYTES));
    }
    let bytes = 0;
    try {
      for await (const chunk of socket) bytes += (chunk as Buffer).length;
    } catch (error) {
      errors.push(error as Error);
    }
    expect(errors.map(({message}) => message)).to.eql([]);
    expect(bytes).to.be.greaterThan(ANSWER_BYTES);
  });

  it('stay open if a request came before their timeout was noticed', async () => {
    answer = (_request, response) => response.end('answer');
    server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    const socket = await open();
    const errors: Error[] = [];
    socket.on('error', error => errors.push(error));
    socket.write(REQUEST);
    await once(socket, 'data');
    await delay(KEEP_ALIVE_MILLISECONDS / 2);
    setImmediate(() => {
      socket.write(REQUEST);
      blockEventLoop(BLOCKED_MILLISECONDS);
    });
    const [text] = (await Promise.race([
      once(socket, 'data'),
      once(socket, 'close').then(() => ['closed']),
    ])) as [Buffer];
    expect(text.toString()).to.match(/^HTTP\/1.1 200/);
    expect(errors).to.eql([]);
    socket.destroy();
  });
});
