// Guards against requests that are sent to an upstream although their callers
// left before this node read them, and against deadlines that begin anew.
import type {CallerRequest} from '@arbutustide/routing';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {CallerServer} from '../../caller_server.js';

import {createServer} from 'node:http';
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {
  Cancellation,
  delay,
  ErrorKind,
  RefusalError,
} from '@arbutustide/errors';
import {
  AttemptFailure,
  HttpPlainService,
  SendCheck,
} from '@arbutustide/upstream';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {createCallerServer} from './caller_server_fixtures.js';

const CALLERS = 20;
const BLOCKED_MILLISECONDS = 600;
const SETTLE_MILLISECONDS = 300;
const DEADLINE_MILLISECONDS = 4_000;

/** Callers in a thread of their own; some leave after 200 ms. */
const CALLERS_THREAD = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  for (let index = 0; index < workerData.count; index += 1) {
    const socket = connect(workerData.port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write('POST /services/lookup/x HTTP/1.1\\r\\nHost: host\\r\\n' +
      'Content-Length: 0\\r\\nX-Request-Id: request-' + index + '\\r\\n\\r\\n');
    if (workerData.leaves) setTimeout(() => socket.destroy(), 200);
  }
`;

function blockEventLoop(): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, BLOCKED_MILLISECONDS);
}

describe('requests of callers that arrived while the loop was blocked', () => {
  let server: CallerServer;
  let callers: Worker | undefined;
  let dispatched: CallerRequest[];
  let remainingMilliseconds: number[];
  let port: number;

  beforeEach(async () => {
    dispatched = [];
    remainingMilliseconds = [];
    server = createCallerServer(DEADLINE_MILLISECONDS, async request => {
      dispatched.push(request);
      remainingMilliseconds.push(
        request.deadlineAtMilliseconds - performance.now(),
      );
      return Err(new RefusalError(ErrorKind.NOT_READY, 'stand-in'));
    });
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(async () => {
    await callers?.terminate();
    await server.close();
  });

  async function sendWhileBlocked(leaves: boolean): Promise<void> {
    callers = new Worker(CALLERS_THREAD, {
      eval: true,
      workerData: {count: CALLERS, port, leaves},
    });
    blockEventLoop();
    await delay(SETTLE_MILLISECONDS);
  }

  it('are not dispatched if their callers left', async () => {
    await sendWhileBlocked(true);
    expect(dispatched.map(({requestId}) => requestId)).to.eql([]);
  });

  it('have no time again for which they lay unread', async () => {
    await sendWhileBlocked(false);
    expect(dispatched).to.have.length(CALLERS);
    const sentAfter = DEADLINE_MILLISECONDS - BLOCKED_MILLISECONDS / 2;
    expect(Math.max(...remainingMilliseconds)).to.be.below(sentAfter);
  });
});

describe('a request whose caller left while the loop was blocked', () => {
  let received: string[];
  let upstream: Server;
  let service: HttpPlainService;

  beforeEach(async () => {
    received = [];
    upstream = createServer(({headers}, response) => {
      received.push(String(headers['x-request-id']));
      response.end();
    }).listen(0, '127.0.0.1');
    await once(upstream, 'listening');
    service = new HttpPlainService({
      url: `http://127.0.0.1:${(upstream.address() as AddressInfo).port}`,
      maximumConnections: 2,
      connectTimeoutMilliseconds: 1_000,
      callTimeoutMilliseconds: 1_000,
    });
  });

  afterEach(async () => {
    await service.close();
    upstream.close();
  });

  it('is not written to an upstream', async () => {
    const disconnection = new Cancellation();
    const now = performance.now();
    blockEventLoop();
    // The event of the caller's connection that is read next.
    setImmediate(() => disconnection.cancel('the caller went away'));
    const result = await service.sendAttempt({
      attemptId: 'attempt',
      requestId: 'left',
      method: 'POST',
      path: '/x',
      contentType: undefined,
      body: undefined,
      priority: 1,
      inactivityTimeoutMilliseconds: 1_000,
      signal: new AbortController().signal,
      sendCheck: new SendCheck({
        callerSeenAtMilliseconds: now,
        deadlineAtMilliseconds: now + DEADLINE_MILLISECONDS,
        isCancelled: () => disconnection.isCancelled,
      }),
    });
    expect(result.err && result.val.failure).to.equal(AttemptFailure.NOT_SENT);
    expect(received).to.eql([]);
  });
});
