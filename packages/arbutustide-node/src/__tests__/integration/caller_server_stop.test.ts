/**
 * Guards against a planned stop of the project's own interface that resets
 * connections whose requests it has not read, or that never ends.
 */
import type {CallerServer} from '../../caller_server.js';

import {once} from 'node:events';
import {connect} from 'node:net';

import {delay, ErrorKind, RefusalError} from '@arbutustide/errors';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {createCallerServer} from './caller_server_fixtures.js';
import {LoopingCallers} from './callers_thread.js';

const CALLERS = 40;
const DEADLINE_MILLISECONDS = 20_000;
const BLOCKED_MILLISECONDS = 600;
const SETTLE_MILLISECONDS = 300;
/** Longer than a connection may linger. */
const CLOSED_WITHIN_MILLISECONDS = 4_000;
const REQUEST = [
  'POST /services/lookup/x HTTP/1.1',
  'Host: host',
  'Content-Length: 0',
  '',
  '',
].join('\r\n');

function blockEventLoop(): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, BLOCKED_MILLISECONDS);
}

describe("stop of the project's own interface", () => {
  let server: CallerServer;
  let port: number;
  let serviceMilliseconds: number;

  beforeEach(async () => {
    serviceMilliseconds = 1;
    server = createCallerServer(DEADLINE_MILLISECONDS, async () => {
      await delay(serviceMilliseconds);
      return Err(new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, 'stand-in'));
    });
    port = await server.listen('127.0.0.1', 0);
  });

  async function open() {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  }

  /** Whether the server has closed all connections in time. */
  function isClosed(closed: Promise<void>): Promise<boolean> {
    const isLate = delay(CLOSED_WITHIN_MILLISECONDS).then(() => false);
    return Promise.race([closed.then(() => true), isLate]);
  }

  it('answers requests that wait with connections not yet accepted', async () => {
    const callers = new LoopingCallers(port, CALLERS, REQUEST);
    try {
      blockEventLoop();
      const closed = server.close();
      await delay(SETTLE_MILLISECONDS);
      const {answers, unanswered} = await callers.stop();
      expect({unanswered}).to.eql({unanswered: 0});
      expect(answers).to.be.at.least(CALLERS);
      expect(await isClosed(closed)).to.equal(true);
    } finally {
      await callers.terminate();
    }
  });

  it('refuses requests on new connections while answers are in flight', async () => {
    serviceMilliseconds = 2 * SETTLE_MILLISECONDS;
    const busy = await open();
    busy.write(REQUEST);
    await delay(SETTLE_MILLISECONDS / 2);
    const closed = server.close();
    const late = await open();
    late.write(REQUEST);
    const [text] = (await once(late, 'data')) as [Buffer];
    expect(text.toString()).to.match(/^HTTP\/1.1 503 /);
    expect(text.toString()).to.match(/^connection: close/im);
    const [answer] = (await once(busy, 'data')) as [Buffer];
    expect(answer.toString()).to.match(/^HTTP\/1.1 504 /);
    expect(await isClosed(closed)).to.equal(true);
  });

  it('ends with connections that never had a request', async () => {
    const socket = await open();
    socket.resume();
    expect(await isClosed(server.close())).to.equal(true);
  });

  it('ends although callers go on sending requests', async () => {
    const callers = new LoopingCallers(port, CALLERS, REQUEST);
    try {
      await delay(SETTLE_MILLISECONDS);
      expect(await isClosed(server.close())).to.equal(true);
    } finally {
      await callers.terminate();
    }
  });

  it('ends when the drain does, also with answers in flight', async () => {
    serviceMilliseconds = DEADLINE_MILLISECONDS;
    const socket = await open();
    socket.resume();
    socket.write(REQUEST);
    await delay(SETTLE_MILLISECONDS);
    expect(await isClosed(server.close(SETTLE_MILLISECONDS))).to.equal(true);
  });

  it('tells callers that it cannot wait for their answers', async () => {
    serviceMilliseconds = DEADLINE_MILLISECONDS;
    const socket = await open();
    socket.write(REQUEST);
    await delay(SETTLE_MILLISECONDS);
    const closed = server.close(SETTLE_MILLISECONDS);
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    await closed;
    expect(text).to.match(/^HTTP\/1.1 504 /);
    expect(text).to.match(/^connection: close/im);
  });
});
