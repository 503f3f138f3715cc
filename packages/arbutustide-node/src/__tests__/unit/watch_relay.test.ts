/**
 * Guards the bound on the delay of changes when nodes watch the store through
 * relays: a relay may freeze, be cut off from the store, or restart at the worst
 * moment. Also guards the number of calls to the store.
 */
import type {
  ClusterNode,
  PeerTransport,
  WatchRequest,
} from '@arbutustide/membership';
import type {
  ObjectStore,
  StoredObject,
  WatchBatch,
} from '@arbutustide/object-store';

import {
  NodeState,
  PeerError,
  WatchResponseSchema,
} from '@arbutustide/membership';
import {
  eraOfVersion,
  PrefixWatcher,
  StoreError,
  StoreErrorKind,
  toVersion,
} from '@arbutustide/object-store';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {
  RELAY_MAXIMUM_AGE_SHARE,
  RELAY_WAIT_SHARE,
} from '../../proxy/proxy_tuning.js';
import {
  chooseDistantWatchRelays,
  chooseWatchRelays,
} from '../../proxy/watch_relay/choose_watch_relays.js';
import {RelayedObjectStore} from '../../proxy/watch_relay/relayed_object_store.js';

const CHANGE_BOUND_MILLISECONDS = 3_000;
const STORE_WATCH_MILLISECONDS = 1_500;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 5;
const PREFIX = 'things/';
const REDACTED = 'redacted';

const delay = (milliseconds: number) =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** The store's objects, shared by all nodes. */
class SharedStore {
  readonly objects = new Map<string, StoredObject>();
  readonly events: StoredObject[] = [];
  era = 1;
  watchCalls = 0;
  private revision = 1;

  get version(): number {
    return toVersion(this.era, this.revision);
  }

  put(name: string): void {
    this.revision += 1;
    const object = {key: PREFIX + name, version: this.version, value: name};
    this.objects.set(object.key, object);
    this.events.push(object);
  }

  /** Goes back to an empty store; the revisions start again. */
  restoreEmpty(): void {
    this.era += 1;
    this.revision = 1;
    this.objects.clear();
    this.events.length = 0;
  }
}

/** One node: its store client, its relay service and its watcher. */
class TestNode {
  isCutFromStore = false;
  isFrozen = false;
  readonly received = new Map<string, number>();
  readonly relayed: RelayedObjectStore;
  private era = 0;

  constructor(
    readonly cluster: ClusterNode,
    private readonly shared: SharedStore,
    transport: PeerTransport,
    listNodes: () => ClusterNode[],
  ) {
    this.relayed = new RelayedObjectStore(
      this.createClient(),
      transport,
      {
        listRelayUrls: () => this.listUrls(chooseWatchRelays, listNodes()),
        listDistantRelayUrls: () =>
          this.listUrls(chooseDistantWatchRelays, listNodes()),
        relayWaitMilliseconds: CHANGE_BOUND_MILLISECONDS * RELAY_WAIT_SHARE,
        maximumAgeMilliseconds:
          CHANGE_BOUND_MILLISECONDS * RELAY_MAXIMUM_AGE_SHARE,
        redact: object => ({...object, value: REDACTED}),
      },
      silentLogger(),
    );
  }

  run(signal: AbortSignal): void {
    const record = ({key}: StoredObject) => {
      if (!this.received.has(key)) this.received.set(key, performance.now());
    };
    const watcher = new PrefixWatcher(
      this.relayed,
      {
        prefix: PREFIX,
        pauseMilliseconds: CHANGE_BOUND_MILLISECONDS * 0.125,
        retryDelayMilliseconds: 250,
        pause: milliseconds => delay(milliseconds),
      },
      {
        onList: objects => objects.forEach(record),
        onChange: record,
        onDelete: () => {},
        onUnavailable: () => {},
        onRecovered: () => {},
      },
    );
    void watcher.run(signal);
  }

  private listUrls(
    choose: typeof chooseWatchRelays,
    nodes: ClusterNode[],
  ): string[] {
    const {identity, failureDomain} = this.cluster;
    return choose(nodes, identity, failureDomain).map(({peerUrl}) => peerUrl);
  }

  /** A client of the store that times out while the node is cut off. */
  private createClient(): ObjectStore {
    const {shared} = this;
    const eraStart = () => toVersion(this.era, 0);
    const isOut = () => this.isCutFromStore || this.isFrozen;
    const waitForAnswer = async (milliseconds: number) => {
      const end = performance.now() + milliseconds;
      while (isOut() && performance.now() < end) await delay(POLL_MILLISECONDS);
      return !isOut();
    };
    const unavailable = () =>
      Err(new StoreError(StoreErrorKind.UNAVAILABLE, 'cut off'));
    const client: Pick<ObjectStore, 'list' | 'watch' | 'eraStartVersion'> = {
      get eraStartVersion() {
        return eraStart();
      },
      list: async () => {
        if (!(await waitForAnswer(CALL_TIMEOUT_MILLISECONDS)))
          return unavailable();
        this.era = shared.era;
        return Ok({
          objects: [...shared.objects.values()],
          version: shared.version,
        });
      },
      watch: async (_prefix, after) => {
        shared.watchCalls += 1;
        const end = performance.now() + STORE_WATCH_MILLISECONDS;
        for (;;) {
          if (isOut()) {
            await waitForAnswer(
              end + CALL_TIMEOUT_MILLISECONDS - performance.now(),
            );
            return unavailable();
          }
          if (shared.era !== eraOfVersion(after)) {
            this.era = shared.era;
            return Err(new StoreError(StoreErrorKind.HISTORY_GONE, 'restored'));
          }
          const changes = shared.events.filter(({version}) => version > after);
          if (changes.length > 0 || performance.now() >= end)
            return Ok({changes, deletedKeys: [], version: shared.version});
          await delay(POLL_MILLISECONDS);
        }
      },
    };
    return client as ObjectStore;
  }
}

function clusterNode(name: string, failureDomain = 'here'): ClusterNode {
  return {
    identity: name,
    name,
    peerUrl: `http://${name}`,
    region: 'region',
    failureDomain,
    state: NodeState.READY,
    catalogueRevision: 1,
    plannerEpoch: 0,
    protocolLevel: 1,
  };
}

const names = (count: number) =>
  Array.from({length: count}, (_, index) => `node-${index}`);

describe('choice of watch relays', () => {
  const choose = (count: number) => {
    const nodes = names(count).map(name => clusterNode(name));
    return nodes.map(({identity}) =>
      chooseWatchRelays(nodes, identity, 'here').map(relay => relay.identity),
    );
  };

  for (const [count, relayCount] of [
    [3, 1],
    [16, 1],
    [33, 3],
    [195, 13],
  ]) {
    it(`has ${relayCount} relays for ${count} nodes`, () => {
      const choices = choose(count);
      const relays = new Set(choices.flat());
      expect(relays.size).to.equal(relayCount);
      const watching = choices.filter(choice => choice.length === 0);
      expect(watching.length).to.equal(relayCount);
    });
  }

  it('shares the nodes among the relays', () => {
    const counts = new Map<string, number>();
    for (const [first] of choose(195)) {
      if (first) counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).to.be.lessThan(30);
  });

  it('uses no relay in a small failure domain or of another one', () => {
    expect(choose(2).flat()).to.eql([]);
    const nodes = [
      clusterNode('one'),
      ...names(9).map(name => clusterNode(name, 'elsewhere')),
    ];
    expect(chooseWatchRelays(nodes, 'one', 'here')).to.eql([]);
  });

  it('uses no relay that is starting or leaving', () => {
    const nodes = names(5).map(name => clusterNode(name));
    const [{identity: relay}] = chooseWatchRelays(nodes, 'absent', 'here');
    const others = nodes.map(node =>
      node.identity === relay ? {...node, state: NodeState.LEAVING} : node,
    );
    const [next] = chooseWatchRelays(others, 'absent', 'here');
    expect(next.identity).to.not.equal(relay);
  });
});

describe('watches through relays', () => {
  let clock: ReturnType<typeof install>;
  let shared: SharedStore;
  let nodes: TestNode[];
  let stopController: AbortController;

  beforeEach(() => {
    clock = install();
    shared = new SharedStore();
    stopController = new AbortController();
  });

  afterEach(async () => {
    stopController.abort();
    clock.uninstall();
  });

  async function start(count: number, distantCount = 0): Promise<void> {
    const transport: Pick<PeerTransport, 'watch'> = {
      watch: async (url: string, request: WatchRequest) => {
        const peer = nodes.find(({cluster}) => cluster.peerUrl === url);
        const end = performance.now() + request.waitMilliseconds + 400;
        if (!peer) return Err(new PeerError(url, 'no such peer'));
        const served = peer.relayed.serveWatch(
          request.prefix,
          request.afterVersion,
          request.waitMilliseconds,
        );
        const response = await served;
        while (peer.isFrozen && performance.now() < end)
          await delay(POLL_MILLISECONDS);
        if (peer.isFrozen) return Err(new PeerError(url, 'timed out'));
        return Ok(
          create(WatchResponseSchema, {
            isServed: response !== undefined,
            ...response,
          }),
        );
      },
    };
    nodes = [
      ...names(count).map(name => clusterNode(name)),
      ...names(distantCount).map(name => clusterNode(`far-${name}`, 'there')),
    ].map(
      cluster =>
        new TestNode(cluster, shared, transport as PeerTransport, () =>
          nodes.map(node => node.cluster),
        ),
    );
    for (const node of nodes) node.run(stopController.signal);
    await clock.tickAsync(2 * CHANGE_BOUND_MILLISECONDS);
  }

  const relayNodes = () =>
    nodes.filter(
      ({cluster}) =>
        chooseWatchRelays(
          nodes.map(node => node.cluster),
          cluster.identity,
          'here',
        ).length === 0,
    );

  /** Delay at the slowest node that is not in trouble itself. */
  async function measureDelay(): Promise<number> {
    const putAt = performance.now();
    shared.put('new');
    await clock.tickAsync(2 * CHANGE_BOUND_MILLISECONDS);
    const delays = nodes
      .filter(({isFrozen, isCutFromStore}) => !isFrozen && !isCutFromStore)
      .map(({received}) => (received.get(`${PREFIX}new`) ?? Infinity) - putAt);
    return Math.max(...delays);
  }

  // Guards against keys in clear text in what peers are given.
  it('passes on only what may pass between nodes', async () => {
    await start(1);
    const {version} = shared;
    shared.put('secret');
    await clock.tickAsync(CHANGE_BOUND_MILLISECONDS);
    const [{relayed}] = nodes;
    const served = await relayed.serveWatch(PREFIX, version, 0);
    const batches = JSON.parse(served?.batchesJson ?? '') as WatchBatch[];
    const values = batches.flatMap(({changes}) => changes);
    expect(values.map(({value}) => value)).to.deep.equal([REDACTED]);
  });

  it('lets few nodes call the store and delivers changes to all', async () => {
    await start(32);
    const callsBefore = shared.watchCalls;
    await clock.tickAsync(10_000);
    const calls = shared.watchCalls - callsBefore;
    expect(calls).to.be.at.most(2 * 10);
    expect(await measureDelay()).to.be.lessThan(600);
  });

  for (const [trouble, begin] of Object.entries<(relay: TestNode) => void>({
    frozen: relay => (relay.isFrozen = true),
    'cut off from the store': relay => (relay.isCutFromStore = true),
  })) {
    // The moment within the relay's watch at which the trouble begins.
    for (const offset of [0, 400, 900, 1_300, 1_700]) {
      it(`delivers changes in time if its relays are ${trouble} after ${offset} ms`, async () => {
        await start(20);
        await clock.tickAsync(offset);
        for (const relay of relayNodes()) begin(relay);
        expect(await measureDelay()).to.be.lessThan(
          CHANGE_BOUND_MILLISECONDS - 500,
        );
      });
    }
  }

  it('serves a domain that the store turns away through another domain', async () => {
    // Guards against nodes that keep calling a store which refuses them.
    await start(12, 12);
    for (const node of nodes)
      node.isCutFromStore = node.cluster.failureDomain === 'here';
    await clock.tickAsync(2 * CHANGE_BOUND_MILLISECONDS);
    const callsBefore = shared.watchCalls;
    await clock.tickAsync(10_000);
    const calls = shared.watchCalls - callsBefore;
    expect(calls / (nodes.length * 10)).to.be.at.most(0.3);
    const putAt = performance.now();
    shared.put('new');
    await clock.tickAsync(2 * CHANGE_BOUND_MILLISECONDS);
    const boundAt = putAt + CHANGE_BOUND_MILLISECONDS;
    for (const {received} of nodes)
      expect(received.get(`${PREFIX}new`)).to.be.lessThan(boundAt);
  });

  it('delivers what was written after a restore of the store', async () => {
    await start(20);
    shared.put('lost');
    await clock.tickAsync(CHANGE_BOUND_MILLISECONDS);
    shared.restoreEmpty();
    expect(await measureDelay()).to.be.lessThan(CHANGE_BOUND_MILLISECONDS);
  });
});
