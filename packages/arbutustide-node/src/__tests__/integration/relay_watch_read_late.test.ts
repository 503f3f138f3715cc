/**
 * Guards against a configuration that comes into force late: a relay had sent
 * it while the event loop was blocked, and the answer was thrown away; or the
 * relay was silent, and the wait for it went on while the loop was behind.
 */
import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {delay} from '@arbutustide/errors';
import {
  ConnectPeerTransport,
  WatchResponseSchema,
} from '@arbutustide/membership';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {silentLogger} from '@arbutustide/telemetry';
import {create, toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {RelayedObjectStore} from '../../proxy/watch_relay/relayed_object_store.js';

const PREFIX = 'config/';
const RELAY_WAIT_MILLISECONDS = 200;
/** Longer than the relay may take, with the time for its answer. */
const BLOCKED_MILLISECONDS = 900;
const WRITE_MILLISECONDS = 20;
const PEER_CALL_MILLISECONDS = 1_000;
const LONG_AGE_MILLISECONDS = 60_000;
/** Bound of a configuration that is shorter than the waits for a silent relay. */
const SHORT_AGE_MILLISECONDS = 700;
const BUSY_TURN_MILLISECONDS = 150;

/** A relay in a thread of its own, to which a change comes after 100 ms. */
const RELAY_THREAD = `
  const {createServer} = require('node:http2');
  const {parentPort, workerData} = require('node:worker_threads');
  const server = createServer((request, response) => {
    request.resume();
    response.setHeader('content-type', 'application/proto');
    if (workerData) setTimeout(() => response.end(workerData), 100);
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

const NEWER: StoredObject = {key: 'config/main', version: 8, value: {}};

function blockEventLoop(milliseconds: number): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, milliseconds);
}

describe('a change that a relay sent while the event loop was blocked', () => {
  let thread: Worker;
  let relayUrl: string;
  let transport: ConnectPeerTransport;
  let storeCalls: number;

  beforeEach(async () => {
    storeCalls = 0;
    const batch = {changes: [NEWER], deletedKeys: [], version: NEWER.version};
    const response = create(WatchResponseSchema, {
      isServed: true,
      batchesJson: JSON.stringify([batch]),
      version: NEWER.version,
      ageMilliseconds: 1,
    });
    await startRelay(toBinary(WatchResponseSchema, response));
    transport = new ConnectPeerTransport(PEER_CALL_MILLISECONDS, () => {});
  });

  afterEach(async () => {
    transport.dropClient(relayUrl);
    await thread.terminate();
  });

  /** @param answer to a watch; a relay without one is silent. */
  async function startRelay(answer?: Uint8Array): Promise<void> {
    thread = new Worker(RELAY_THREAD, {eval: true, workerData: answer});
    const [port] = (await once(thread, 'message')) as [number];
    relayUrl = `http://127.0.0.1:${port}`;
  }

  function createRelayedStore(
    maximumAgeMilliseconds = LONG_AGE_MILLISECONDS,
  ): RelayedObjectStore {
    const store = {
      eraStartVersion: 0,
      watch: async () => {
        storeCalls += 1;
        return Err(new StoreError(StoreErrorKind.UNAVAILABLE, 'turned away'));
      },
    };
    return new RelayedObjectStore(
      store as unknown as ObjectStore,
      transport,
      {
        listRelayUrls: () => [relayUrl],
        listDistantRelayUrls: () => [],
        relayWaitMilliseconds: RELAY_WAIT_MILLISECONDS,
        maximumAgeMilliseconds,
        redact: object => object,
      },
      silentLogger(),
    );
  }

  it('is delivered, without a call to the store', async () => {
    const relayed = createRelayedStore();
    const {signal} = new AbortController();
    const first = await relayed.watch(PREFIX, 7, signal);
    expect(first.ok, 'before the loop is blocked').to.equal(true);
    const pending = relayed.watch(PREFIX, 7, signal);
    await delay(WRITE_MILLISECONDS);
    // Timers come first in the turn that follows.
    await new Promise(resolve => setImmediate(resolve));
    blockEventLoop(BLOCKED_MILLISECONDS);
    const batch = await pending;
    expect(batch.ok && batch.val.changes).to.eql([NEWER]);
    expect(storeCalls).to.equal(0);
  });

  it('is not awaited for longer than its bound from a silent relay', async () => {
    await thread.terminate();
    await startRelay();
    const relayed = createRelayedStore(SHORT_AGE_MILLISECONDS);
    const {signal} = new AbortController();
    const startedAt = performance.now();
    const pending = relayed.watch(PREFIX, 7, signal);
    const takeTurn = () => {
      if (storeCalls > 0) return;
      blockEventLoop(BUSY_TURN_MILLISECONDS);
      setImmediate(takeTurn);
    };
    setImmediate(takeTurn);
    await pending;
    expect(storeCalls).to.equal(1);
    expect(performance.now() - startedAt).to.be.below(
      SHORT_AGE_MILLISECONDS + 5 * BUSY_TURN_MILLISECONDS,
    );
  });
});
