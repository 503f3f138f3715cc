/** Guards against bodies that hold memory after their requests have ended. */
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import type {CallerServer} from '../../caller_server.js';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {delay, ErrorKind, RefusalError} from '@arbutustide/errors';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {BodyTimeout} from '../../bounds/arriving_body.js';
import {BodyMemory} from '../../bounds/body_memory.js';
import {BodyReader} from '../../bounds/body_reader.js';
import {createCallerServer} from './caller_server_fixtures.js';

const BODY_BYTES = 8_192;
const OWN_LIMIT_BYTES = 1_024;
const TIMEOUT_MILLISECONDS = 200;
const SETTLE_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 5_000;

function formatRequest(bytes: number, sent = bytes, ...headers: string[]) {
  const head = ['POST /services/lookup/x HTTP/1.1', 'Host: host', ...headers];
  const lines = [...head, `Content-Length: ${bytes}`, '', 'x'.repeat(sent)];
  return lines.join('\r\n');
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1').on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

describe('reader of request bodies', () => {
  let server: Server;
  let memory: BodyMemory;
  let responses: ServerResponse[];
  let kinds: (ErrorKind | undefined)[];
  let socket: Socket;

  beforeEach(async () => {
    memory = new BodyMemory(BODY_BYTES);
    responses = [];
    kinds = [];
    server = createServer();
    const reader = new BodyReader(server, memory, {record: () => {}});
    server.on('request', async (message, response) => {
      const result = await reader.read(message, response, {
        lengthBytes: BODY_BYTES,
        timeout: BodyTimeout.WHOLE_BODY,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      });
      responses.push(response);
      kinds.push(result.err ? result.val.kind : undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    socket = await open((server.address() as AddressInfo).port);
  });

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  it('holds a whole body until its request is answered', async () => {
    socket.write(formatRequest(BODY_BYTES));
    await delay(SETTLE_MILLISECONDS);
    expect(memory.heldBytes).to.equal(BODY_BYTES);
    responses[0].end('answer');
    await delay(SETTLE_MILLISECONDS);
    expect(memory.heldBytes).to.equal(0);
  });

  it('releases bodies of pipelined requests with their connection', async () => {
    socket.write(formatRequest(100) + formatRequest(100) + formatRequest(100));
    await delay(SETTLE_MILLISECONDS);
    expect(memory.heldBytes).to.equal(300);
    socket.destroy();
    await delay(SETTLE_MILLISECONDS);
    expect(memory.heldBytes).to.equal(0);
  });

  it('releases an unfinished body whose connection closes', async () => {
    socket.write(formatRequest(BODY_BYTES, BODY_BYTES - 1));
    await delay(SETTLE_MILLISECONDS);
    expect(memory.heldBytes).to.be.greaterThan(0);
    socket.destroy();
    await delay(SETTLE_MILLISECONDS);
    expect(kinds).to.eql([ErrorKind.BAD_REQUEST]);
    expect(memory.heldBytes).to.equal(0);
  });

  it('releases a body that is not whole in time', async () => {
    socket.write(formatRequest(BODY_BYTES, BODY_BYTES - 1));
    await delay(TIMEOUT_MILLISECONDS + SETTLE_MILLISECONDS);
    expect(kinds).to.eql([ErrorKind.REQUEST_TIMEOUT]);
    expect(memory.heldBytes).to.equal(0);
  });
});

describe("request bodies of the project's own interface", () => {
  let server: CallerServer;
  let port: number;
  let dispatchCount: number;

  beforeEach(async () => {
    dispatchCount = 0;
    server = createCallerServer(DEADLINE_MILLISECONDS, async () => {
      dispatchCount += 1;
      return Err(new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, 'stand-in'));
    });
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => server.close());

  async function send(request: string): Promise<string> {
    const socket = await open(port);
    socket.write(request);
    const [answer] = await once(socket, 'data');
    socket.destroy();
    return String(answer);
  }

  it('are not asked for if announced too long', async () => {
    const expectation = 'Expect: 100-continue';
    const request = formatRequest(OWN_LIMIT_BYTES + 1, 0, expectation);
    expect(await send(request)).to.match(/^HTTP\/1.1 413/);
    expect(dispatchCount).to.equal(0);
  });

  it('of exactly the limit are passed on', async () => {
    const request = formatRequest(OWN_LIMIT_BYTES);
    expect(await send(request)).to.match(/^HTTP\/1.1 504/);
    expect(dispatchCount).to.equal(1);
  });
});
