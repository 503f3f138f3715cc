/**
 * Guards against requests that are said not to have run because an engine wrote
 * an earlier refusal once more on a kept connection.
 */
import type {AddressInfo, Server} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:net';

import {expect} from 'chai';

import {AttemptFailure} from '../../attempt_error.js';
import {HttpEngine} from '../../http_engine.js';

const REFUSAL = 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n';

describe('refusal of an engine without the id of the attempt', () => {
  let server: Server;
  let engine: HttpEngine;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () => socket.write(REFUSAL));
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    engine = new HttpEngine({
      url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
      maximumConnections: 1,
      connectTimeoutMilliseconds: 1_000,
      callTimeoutMilliseconds: 1_000,
    });
  });

  afterEach(async () => {
    await engine.close();
    server.close();
  });

  it('is no answer, and the request may have run', async () => {
    const answer = await engine.sendAttempt({
      attemptId: 'attempt',
      requestId: 'request',
      method: 'POST',
      path: '/v1/completions',
      contentType: undefined,
      body: undefined,
      priority: 1,
      inactivityTimeoutMilliseconds: 1_000,
      signal: new AbortController().signal,
    });
    expect(answer.err && answer.val.failure).to.equal(
      AttemptFailure.PROTOCOL_VIOLATION,
    );
    expect(answer.err && answer.val.mayHaveRun).to.equal(true);
  });
});
