/**
 * Guards the bound on the delay of changes against the ages that relays name: one
 * that is no time was believed and kept a node from watching the store, and an
 * answer that came late counted as younger than it was.
 */
import type {PeerTransport} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';

import {WatchResponseSchema} from '@arbutustide/membership';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Ok} from 'ts-results';

import {RelayedObjectStore} from '../../proxy/watch_relay/relayed_object_store.js';

const PREFIX = 'config/';
const VERSION = 7;
const MAXIMUM_AGE_MILLISECONDS = 2_250;
const RELAY_WAIT_MILLISECONDS = 1_200;

describe('the age of what a relay answers', () => {
  let clock: ReturnType<typeof install>;
  let storeCalls: number;

  beforeEach(() => {
    clock = install();
    storeCalls = 0;
  });
  afterEach(() => clock.uninstall());

  /** A store whose relay has no changes. */
  function createStore(
    ageMilliseconds: number,
    answerMilliseconds = 0,
  ): RelayedObjectStore {
    const unchanged = {changes: [], deletedKeys: [], version: VERSION};
    const store = {
      eraStartVersion: 0,
      watch: async () => {
        storeCalls += 1;
        return Ok(unchanged);
      },
      list: async () => Ok({objects: [], version: VERSION}),
    };
    const transport = {
      watch: async () => {
        clock.tick(answerMilliseconds);
        return Ok(
          create(WatchResponseSchema, {
            isServed: true,
            batchesJson: '[]',
            version: VERSION,
            ageMilliseconds,
          }),
        );
      },
    };
    return new RelayedObjectStore(
      store as unknown as ObjectStore,
      transport as unknown as PeerTransport,
      {
        listRelayUrls: () => ['http://relay'],
        listDistantRelayUrls: () => [],
        relayWaitMilliseconds: RELAY_WAIT_MILLISECONDS,
        maximumAgeMilliseconds: MAXIMUM_AGE_MILLISECONDS,
        redact: object => object,
      },
      silentLogger(),
    );
  }

  async function watch(relayed: RelayedObjectStore): Promise<void> {
    await relayed.list(PREFIX);
    clock.tick(1);
    const {signal} = new AbortController();
    await relayed.watch(PREFIX, VERSION, signal);
  }

  for (const age of [-1, -Infinity, NaN, Infinity, 1e9]) {
    it(`is not used if it is ${age}`, async () => {
      const relayed = createStore(age);
      await watch(relayed);
      expect(storeCalls).to.equal(1);
      const served = relayed.serveWatch(PREFIX, VERSION, 100);
      await clock.tickAsync(100);
      expect((await served)?.ageMilliseconds).to.equal(100);
    });
  }

  it('counts the time in which the answer was on its way', async () => {
    const relayed = createStore(0, RELAY_WAIT_MILLISECONDS);
    await watch(relayed);
    expect(storeCalls).to.equal(0);
    const served = await relayed.serveWatch(PREFIX, VERSION, 0);
    expect(served?.ageMilliseconds).to.equal(RELAY_WAIT_MILLISECONDS);
  });

  it('is not taken for less if the answer came late', async () => {
    const relayed = createStore(2_000, 60_000);
    await watch(relayed);
    const served = await relayed.serveWatch(PREFIX, VERSION, 0);
    expect(served?.ageMilliseconds).to.be.at.least(60_000);
  });
});
