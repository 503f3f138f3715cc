import type {
  ClusterNode,
  ConfirmConfigurationRequest,
  PeerTransport,
} from '@arbutustide/membership';
import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';

import type {ProxyDependencies} from '../../proxy/proxy_dependencies.js';

import {setMaxListeners} from 'node:events';

import {
  ConfirmConfigurationResponseSchema,
  NodeState,
  PeerError,
  ProtocolLevel,
} from '@arbutustide/membership';
import {
  eraOfVersion,
  StoreError,
  StoreErrorKind,
  toVersion,
} from '@arbutustide/object-store';
import {ConfigurationFreshness} from '@arbutustide/teams';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

import {ConfigurationWatcher} from '../../proxy/configuration_watcher.js';
import {serializeSnapshot} from '../../proxy/peer_snapshot.js';
import {ConfigurationConfirmer} from '../../proxy/teams/configuration_confirmer.js';
import {chooseWatchRelays} from '../../proxy/watch_relay/choose_watch_relays.js';

export const BOUND_MILLISECONDS = 5_000;
const WATCH_MILLISECONDS = 1_500;
const CONFIRMING_WATCH_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Time for a message to arrive at another host. */
const LATENCY_MILLISECONDS = 5;
const POLL_MILLISECONDS = 25;
const FAILURE_DOMAINS = 3;
/** Age up to which nodes use what others have published. */
const VIEW_AGE_MILLISECONDS = 500;
const KEY = 'config/main';
const LIMITS = {
  headerBytes: 1,
  bodyBytes: 1,
  headerTimeoutMilliseconds: 1,
  idleTimeoutMilliseconds: 1,
};

const delay = (milliseconds: number) =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** The store's only object: the configuration, of which it holds a version. */
export class ConfigurationStore {
  era = 1;
  isDown = false;
  version: unknown = 1;
  calls = 0;
  private revision = 1;

  get object(): StoredObject {
    return {key: KEY, version: this.storeVersion, value: this.version};
  }

  get storeVersion(): number {
    return toVersion(this.era, this.revision);
  }

  /** @param version anything but a number is an invalid configuration. */
  write(version: unknown): void {
    this.version = version;
    this.revision += 1;
  }

  /** Goes back to a copy that held this version. */
  restore(version: number): void {
    this.era += 1;
    this.version = version;
  }
}

/** One node: its store client, watcher, freshness and confirmer. */
export class ConfirmingNode {
  isCutFromStore = false;
  /** The part of a partition that the node is in. */
  part = 0;
  readonly freshness = new ConfigurationFreshness({
    isRequired: true,
    boundMilliseconds: BOUND_MILLISECONDS,
  });
  readonly watcher: ConfigurationWatcher;
  readonly confirmer: ConfigurationConfirmer;
  peerCalls = 0;
  private era = 0;
  private nodesOfSources: readonly ClusterNode[] = [];
  private sources: ClusterNode[] = [];

  constructor(
    private readonly cluster: ConfirmingCluster,
    readonly name: string,
    private readonly failureDomain: string,
  ) {
    const store = this.createStoreClient();
    const dependencies: Pick<
      ProxyDependencies,
      'logger' | 'configuration' | 'store'
    > = {
      store,
      logger: silentLogger(),
      configuration: {
        prefix: 'config/',
        redact: value => value,
        decode: value =>
          typeof value === 'number'
            ? Ok(createConfiguration(value))
            : Err(new Error('not usable')),
      },
    };
    this.watcher = new ConfigurationWatcher(dependencies as ProxyDependencies, {
      watchMilliseconds: () =>
        this.listSources().length === 0
          ? CONFIRMING_WATCH_MILLISECONDS
          : undefined,
    });
    this.confirmer = new ConfigurationConfirmer({
      freshness: this.freshness,
      watcher: this.watcher,
      store,
      transport: this.createTransport(),
      listPeers: () =>
        this.listNodes().filter(({identity}) => identity !== name),
      listSources: () => this.listSources(),
      publishedVersion: () =>
        Math.max(
          ...this.listNodes().map(({catalogueRevision}) => catalogueRevision),
        ),
      reachableShare: () => this.listNodes().length / this.cluster.nodes.length,
      recordAge: () => {},
      random: () => this.cluster.random(),
      logger: silentLogger(),
    });
  }

  get version(): number {
    return this.watcher.routes?.configuration.version ?? 0;
  }

  /** Whether a request with a key runs here now. */
  get serves(): boolean {
    return this.freshness.refuseIfUnconfirmed() === undefined;
  }

  get clusterNode(): ClusterNode {
    return {
      identity: this.name,
      name: this.name,
      peerUrl: this.name,
      region: '',
      failureDomain: this.failureDomain,
      state: NodeState.READY,
      catalogueRevision: this.version,
      plannerEpoch: 0,
      protocolLevel: ProtocolLevel.TEAMS,
    };
  }

  start(signal: AbortSignal): void {
    void this.watcher.run(signal);
    void this.confirmer.run(signal);
  }

  private listNodes(): readonly ClusterNode[] {
    return this.cluster.nodesOfPart(this.part);
  }

  private listSources(): ClusterNode[] {
    const nodes = this.listNodes();
    if (nodes !== this.nodesOfSources) {
      this.nodesOfSources = nodes;
      this.sources = chooseWatchRelays(nodes, this.name, this.failureDomain);
    }
    return this.sources;
  }

  private createTransport(): PeerTransport {
    const findPeer = async (url: string) => {
      this.peerCalls += 1;
      await delay(LATENCY_MILLISECONDS);
      const peer = this.cluster.nodes.find(({name}) => name === url);
      if (peer?.part === this.part) return peer;
      await delay(CALL_TIMEOUT_MILLISECONDS);
      return undefined;
    };
    const transport: Pick<PeerTransport, 'confirmConfiguration' | 'fetchHead'> =
      {
        confirmConfiguration: async (
          url: string,
          {version}: ConfirmConfigurationRequest,
        ) => {
          const peer = await findPeer(url);
          if (!peer) return Err(new PeerError(url, 'no answer'));
          const fields = peer.confirmer.answer(version);
          await delay(LATENCY_MILLISECONDS);
          return Ok(create(ConfirmConfigurationResponseSchema, fields));
        },
        fetchHead: async (url: string) => {
          const peer = await findPeer(url);
          if (!peer) return Err(new PeerError(url, 'no answer'));
          return Ok(serializeSnapshot(peer.watcher.storedObject, [], 0));
        },
      };
    return transport as PeerTransport;
  }

  private createStoreClient(): ObjectStore {
    const {store} = this.cluster;
    const call = async () => {
      store.calls += 1;
      await delay(LATENCY_MILLISECONDS);
      if (this.isCutFromStore || store.isDown)
        return new StoreError(StoreErrorKind.UNAVAILABLE, 'no answer');
      this.era = store.era;
      return undefined;
    };
    const client: Pick<ObjectStore, 'list' | 'watch' | 'eraStartVersion'> = {
      eraStartVersion: 0,
      list: async () => {
        const error = await call();
        const {object, storeVersion} = store;
        await delay(LATENCY_MILLISECONDS);
        if (error) return Err(error);
        return Ok({objects: [object], version: storeVersion});
      },
      watch: async (_prefix, after, signal, wait = WATCH_MILLISECONDS) => {
        const error = await call();
        if (error) return Err(error);
        const endsAt = performance.now() + wait;
        const isGone = () => eraOfVersion(after) !== store.era;
        while (
          store.storeVersion === after &&
          performance.now() < endsAt &&
          !signal.aborted
        ) {
          await delay(POLL_MILLISECONDS);
          if (!this.isCutFromStore && !store.isDown) continue;
          await delay(CALL_TIMEOUT_MILLISECONDS);
          return Err(new StoreError(StoreErrorKind.UNAVAILABLE, 'cut off'));
        }
        if (isGone())
          return Err(new StoreError(StoreErrorKind.HISTORY_GONE, 'restored'));
        const {object, storeVersion: version} = store;
        const changes = version === after ? [] : [object];
        await delay(LATENCY_MILLISECONDS);
        return Ok({changes, deletedKeys: [], version});
      },
    };
    Object.defineProperty(client, 'eraStartVersion', {
      get: () => toVersion(this.era, 0),
    });
    return client as ObjectStore;
  }
}

interface NodesView {
  readonly atMilliseconds: number;
  readonly nodes: readonly ClusterNode[];
}

/** Nodes of three failure domains, and the store that they read. */
export class ConfirmingCluster {
  readonly store = new ConfigurationStore();
  readonly nodes: ConfirmingNode[] = [];
  private readonly stopController = new AbortController();
  private seed = 1;
  private readonly viewsByPart = new Map<number, NodesView>();

  constructor(nodeCount: number) {
    for (let index = 0; index < nodeCount; index += 1) {
      const domain = `domain-${index % FAILURE_DOMAINS}`;
      this.nodes.push(new ConfirmingNode(this, `node-${index}`, domain));
    }
  }

  start(): void {
    setMaxListeners(0, this.stopController.signal);
    for (const node of this.nodes) node.start(this.stopController.signal);
  }

  stop(): void {
    this.stopController.abort();
  }

  /** The nodes of a part of a partition, as published a short time ago. */
  nodesOfPart(part: number): readonly ClusterNode[] {
    const now = performance.now();
    const view = this.viewsByPart.get(part);
    if (view && now < view.atMilliseconds + VIEW_AGE_MILLISECONDS)
      return view.nodes;
    const nodes = this.nodes
      .filter(node => node.part === part)
      .map(({clusterNode}) => clusterNode);
    this.viewsByPart.set(part, {atMilliseconds: now, nodes});
    return nodes;
  }

  /** Numbers of a linear congruential generator, the same in every run. */
  random(): number {
    this.seed = (this.seed * 1_103_515_245 + 12_345) % 2 ** 31;
    return this.seed / 2 ** 31;
  }
}

function createConfiguration(version: number): ServingConfiguration {
  const teams = [
    {name: 'team', apiKeys: [], priority: undefined, quota: undefined},
  ];
  return {version, routes: [], services: new Map(), limits: LIMITS, teams};
}
