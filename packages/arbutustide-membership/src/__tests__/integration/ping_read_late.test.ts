/**
 * Guards against a connection to a peer that is ended, with the requests on it,
 * because the event loop was blocked when the answer to a ping arrived.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {PeerSession} from '../../peer_session.js';

const SESSION_OPTIONS = {
  pingIntervalMs: 100,
  pingTimeoutMs: 200,
  idleConnectionTimeoutMs: 10_000,
};
const SILENT_MILLISECONDS = 150;
/** Longer than the time for the answer to a ping. */
const BLOCKED_MILLISECONDS = 400;

/** A peer in a thread of its own. Its runtime answers pings at once. */
const PEER_THREAD = `
  const {createServer} = require('node:http2');
  const {parentPort} = require('node:worker_threads');
  const server = createServer();
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

function blockEventLoop(milliseconds: number): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, milliseconds);
}

describe('a ping whose answer arrived while the event loop was blocked', () => {
  let thread: Worker;
  let session: PeerSession;
  let errors: string[];

  beforeEach(async () => {
    errors = [];
    thread = new Worker(PEER_THREAD, {eval: true});
    const [port] = (await once(thread, 'message')) as [number];
    session = new PeerSession(
      `http://127.0.0.1:${port}`,
      SESSION_OPTIONS,
      error => errors.push(error.message),
    );
    await session.prepare();
  });

  afterEach(async () => {
    session.close();
    await thread.terminate();
  });

  it('leaves the connection open', async () => {
    await delay(SILENT_MILLISECONDS);
    const isReady = session.prepare();
    // Timers come first in the turn that follows.
    await new Promise(resolve => setImmediate(resolve));
    blockEventLoop(BLOCKED_MILLISECONDS);
    expect(await isReady).to.equal(true);
    expect(errors).to.eql([]);
  });
});
