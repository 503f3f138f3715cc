/**
 * Guards against resumed streams that are refused although the store has
 * answered: the event loop was blocked, and the answer lay unread in its socket
 * when the time for it ended.
 */
import type {ObjectStore} from '@arbutustide/object-store';

import type {StreamOriginStorage} from '../../proxy/stream_origin/stream_origin_storage.js';

import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {delay} from '@arbutustide/errors';
import {HttpObjectStore} from '@arbutustide/object-store';
import {silentLogger} from '@arbutustide/telemetry';
import {expect} from 'chai';
import {Ok} from 'ts-results';

import {ListConfirmer} from '../../proxy/stream_origin/list_confirmer.js';
import {VersionHistory} from '../../proxy/stream_origin/version_history.js';

const PREFIX = 'history/';
const SERVICE = 'engines';
const STORE_TIMEOUT_MILLISECONDS = 5_000;
const ALLOWED_MILLISECONDS = 300;
/** Longer than what the callers allow. */
const BLOCKED_MILLISECONDS = 500;
/** Time in which a call is written, and far from its answer. */
const WRITE_MILLISECONDS = 20;

/** A store in a thread of its own that answers each call after 100 ms. */
const STORE_THREAD = `
  const {createServer} = require('node:http');
  const {parentPort} = require('node:worker_threads');
  const text = JSON.stringify({
    objects: [{key: 'history/engines', version: 1, value: {}}],
    version: 1,
  });
  const server = createServer((request, response) => {
    request.resume();
    setTimeout(() => response.end(text), 100);
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

function blockEventLoop(milliseconds: number): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, milliseconds);
}

/** Blocks the loop after a call was sent, until after the time for its answer. */
async function readLate<T>(pending: Promise<T>): Promise<T> {
  await delay(WRITE_MILLISECONDS);
  // Timers come first in the turn that follows.
  await new Promise(resolve => setImmediate(resolve));
  blockEventLoop(BLOCKED_MILLISECONDS);
  return await pending;
}

describe('an answer of the store that arrived while the event loop was blocked', () => {
  let thread: Worker;
  let store: HttpObjectStore;

  beforeEach(async () => {
    thread = new Worker(STORE_THREAD, {eval: true});
    const [port] = (await once(thread, 'message')) as [number];
    store = new HttpObjectStore({
      url: `http://127.0.0.1:${port}`,
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      watchMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    (await store.list(PREFIX)).unwrap();
  });

  afterEach(async () => {
    await store.close();
    await thread.terminate();
  });

  it('confirms the list of upstreams', async () => {
    const confirmer = new ListConfirmer({
      source: {
        confirmedAtMilliseconds: -Infinity,
        readPendingEntries: async () =>
          (await store.list(PREFIX)).map(() => []),
      },
      onEntry: () => {},
      logger: silentLogger(),
    });
    const pending = confirmer.confirm(performance.now(), ALLOWED_MILLISECONDS);
    expect(await readLate(pending)).to.equal(true);
  });

  it('confirms the history of versions', async () => {
    const storage: Partial<StreamOriginStorage> = {
      historyPrefix: PREFIX,
      decodeHistory: () => Ok({service: SERVICE, softwareVersions: ['v1']}),
    };
    const history = new VersionHistory({
      store: store as ObjectStore,
      storage: storage as StreamOriginStorage,
      onDiscovered: () => {},
      logger: silentLogger(),
    });
    const pending = history.confirm(
      SERVICE,
      performance.now(),
      ALLOWED_MILLISECONDS,
    );
    expect(await readLate(pending)).to.equal(true);
  });
});
