import {once} from 'node:events';
import {createServer, request} from 'node:http';

import {expect} from 'chai';

import {ResponseTimeout} from '../../response_timeout.js';

const LIMIT_MILLISECONDS = 150;
const BLOCKED_MILLISECONDS = 400;

function blockLoop(milliseconds: number): void {
  const endAt = performance.now() + milliseconds;
  while (performance.now() < endAt);
}

function wait(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

describe('response timeout', () => {
  it('expires at its limit while the loop reads its input', async () => {
    const startedAt = performance.now();
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS);
    await once(timeout.signal, 'abort');
    const elapsed = performance.now() - startedAt;
    expect(elapsed).to.be.at.least(LIMIT_MILLISECONDS - 1);
    expect(timeout.hasExpired).to.equal(true);
  });

  it('does not count time in which the loop read no input', async () => {
    await wait(1);
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS);
    blockLoop(BLOCKED_MILLISECONDS);
    await wait(LIMIT_MILLISECONDS / 3);
    expect(timeout.hasExpired).to.equal(false);
    timeout.close();
  });

  it('ends after a multiple of its limit although the loop is never on time', async () => {
    const startedAt = performance.now();
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS);
    while (!timeout.hasExpired) {
      blockLoop(LIMIT_MILLISECONDS);
      await wait(0);
    }
    const elapsed = performance.now() - startedAt;
    expect(elapsed).to.be.below(6 * LIMIT_MILLISECONDS);
  });

  it('ends at its maximum although the loop is never on time', async () => {
    const startedAt = performance.now();
    const maximumMilliseconds = 2.5 * LIMIT_MILLISECONDS;
    const timeout = new ResponseTimeout(2 * LIMIT_MILLISECONDS, {
      maximumMilliseconds,
    });
    while (!timeout.hasExpired) {
      blockLoop(LIMIT_MILLISECONDS);
      await wait(0);
    }
    const elapsed = performance.now() - startedAt;
    expect(elapsed).to.be.within(
      maximumMilliseconds,
      2 * maximumMilliseconds - LIMIT_MILLISECONDS / 2,
    );
  });

  it('is not shortened by its maximum', async () => {
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS, {
      maximumMilliseconds: LIMIT_MILLISECONDS / 10,
    });
    await wait(LIMIT_MILLISECONDS / 2);
    expect(timeout.hasExpired).to.equal(false);
    timeout.close();
  });

  it('lets an answer be read that has arrived before its limit', async () => {
    const server = createServer((_message, response) => response.end('here'));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const port = typeof address === 'object' ? address?.port : undefined;
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS);
    const call = request({port, signal: timeout.signal}).end();
    await once(call, 'socket');
    await once(call.socket ?? call, 'connect');
    blockLoop(BLOCKED_MILLISECONDS);
    const [response] = await once(call, 'response');
    expect(response.statusCode).to.equal(200);
    timeout.close();
    response.resume();
    server.close();
    server.closeAllConnections();
  });

  it('does not expire once it is closed', async () => {
    const timeout = new ResponseTimeout(LIMIT_MILLISECONDS);
    timeout.close();
    await wait(2 * LIMIT_MILLISECONDS);
    expect(timeout.hasExpired).to.equal(false);
  });
});
