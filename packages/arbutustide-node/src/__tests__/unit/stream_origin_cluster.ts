import type {
  ClusterNode,
  FindStreamOriginRequest,
  PeerTransport,
  RecordStreamOriginsRequest,
} from '@arbutustide/membership';
import type {
  ResolvedOrigin,
  RoutedRequest,
  UpstreamDescription,
} from '@arbutustide/routing';

import {
  FindStreamOriginRequestSchema,
  FindStreamOriginResponseSchema,
  NodeState,
  PeerError,
  RecordStreamOriginsRequestSchema,
} from '@arbutustide/membership';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {ProxyUpstreamDirectory, UpstreamState} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {create, toBinary} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

import {OriginStore, TEST_STORAGE} from './stream_origin_store.js';
import {ClusterStreamOrigins} from '../../proxy/stream_origin/cluster_stream_origins.js';

const LATENCY_MILLISECONDS = 6;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const STREAM_LIFETIME_MILLISECONDS = 30_000;
/** Interval at which a node compares the listed versions with the stored. */
const UPDATE_MILLISECONDS = 250;
/** Time after the loss of all nodes in which nodes know no peers. */
const DISCOVERY_MILLISECONDS = 500;
const FAILURE_DOMAINS = 4;
const GOLDEN_RATIO = 0.618034;
const SERVICE = 'service';

/** One node with the upstreams that it has listed. */
export class OriginNode {
  readonly directory = new ProxyUpstreamDirectory();
  readonly peerUrl: string;
  readonly failureDomain: string;
  origins: ClusterStreamOrigins;
  isGone = false;
  /** Whether it runs but answers no peer. */
  isSilent = false;
  /** Whether the list of upstreams is out of date. */
  isListStale = false;
  /** Whether the store answers none of this node's reads of the list. */
  isTurnedAway = false;
  /** Versions in the store's list that the watch has not delivered yet. */
  pendingVersions: readonly string[] = [];
  /** Reads of the store's list beside the watch. */
  listReads = 0;
  /** Whether the process stands still. */
  isFrozen = false;
  /** Bytes of the messages that this node has sent to peers. */
  sentBytes = 0;
  sentCalls = 0;
  private startCount = 0;

  constructor(
    private readonly cluster: OriginCluster,
    readonly name: string,
    index: number,
  ) {
    this.peerUrl = `http://${name}`;
    this.failureDomain = `domain-${index % FAILURE_DOMAINS}`;
    this.origins = this.createOrigins();
    setInterval(() => {
      if (!this.isGone && !this.isFrozen) this.origins.updateVersions();
    }, UPDATE_MILLISECONDS);
  }

  /** Lists upstreams of these versions, and no others. */
  listVersions(...versions: readonly string[]): void {
    for (const {id} of [...this.directory.all()]) this.directory.remove(id);
    for (const softwareVersion of versions)
      this.directory.upsert(describeUpstream(softwareVersion));
    this.origins.updateVersions();
  }

  /** Lists an upstream of a version that leaves before anybody looks. */
  listVersionBriefly(version: string): void {
    const description = describeUpstream(version);
    this.directory.upsert(description);
    this.directory.remove(description.id);
  }

  /**
   * Replaces the process, which then knows no stream.
   *
   * @param discoveryMilliseconds time until it knows its peers.
   */
  restart(discoveryMilliseconds = 0): void {
    this.origins = this.createOrigins(discoveryMilliseconds);
    this.origins.updateVersions();
  }

  begin(requestId: string, softwareVersion: string): void {
    const request = {requestId, service: SERVICE} as RoutedRequest;
    this.origins.recordBegun(request, {service: SERVICE, softwareVersion});
  }

  resume(resumedRequestId: string | undefined) {
    return this.origins.resolve({
      service: SERVICE,
      resumedRequestId,
    } as RoutedRequest);
  }

  toClusterNode(): ClusterNode {
    return {
      identity: this.name,
      name: this.name,
      peerUrl: this.peerUrl,
      region: 'region',
      failureDomain: this.failureDomain,
      state: NodeState.READY,
      catalogueRevision: 1,
      plannerEpoch: 0,
      protocolLevel: 1,
    };
  }

  private createOrigins(discoveryMilliseconds = 0): ClusterStreamOrigins {
    const {cluster} = this;
    this.startCount += 1;
    const start = this.startCount;
    const discoveredAt = performance.now() + discoveryMilliseconds;
    const isAlive = () => this.startCount === start && !this.isGone;
    return new ClusterStreamOrigins({
      ownUrl: this.peerUrl,
      listNodes: () =>
        performance.now() < discoveredAt
          ? [this.toClusterNode()]
          : cluster.visibleNodes(),
      directory: this.directory,
      isListReceived: () => true,
      isListCurrent: () => !this.isListStale,
      listSource: {
        confirmedAtMilliseconds: -Infinity,
        readPendingEntries: () => this.readPendingEntries(),
      },
      store: cluster.store.connect(isAlive),
      storage: TEST_STORAGE,
      transport: this.createTransport(isAlive),
      streamLifetimeMilliseconds: () => STREAM_LIFETIME_MILLISECONDS,
      random: cluster.random,
      logger: silentLogger(),
    });
  }

  private createTransport(isAlive: () => boolean): PeerTransport {
    const {cluster} = this;
    return {
      recordStreamOrigins: async (
        url: string,
        request: RecordStreamOriginsRequest,
      ) => {
        if (!isAlive()) return Err(new PeerError(url, 'the caller has ended'));
        this.countSent(
          toBinary(RecordStreamOriginsRequestSchema, request).length,
        );
        return cluster.call(url, node => node.origins.handleRecords(request));
      },
      findStreamOrigin: async (
        url: string,
        request: FindStreamOriginRequest,
      ) => {
        this.countSent(toBinary(FindStreamOriginRequestSchema, request).length);
        return cluster.call(url, async node =>
          create(
            FindStreamOriginResponseSchema,
            await node.origins.handleFind(request),
          ),
        );
      },
    } as unknown as PeerTransport;
  }

  private async readPendingEntries() {
    const {latencyMilliseconds, isDown} = this.cluster.store;
    this.listReads += 1;
    await pause(latencyMilliseconds);
    return isDown || this.isTurnedAway || this.isListStale
      ? Err(new StoreError(StoreErrorKind.UNAVAILABLE, 'turned away'))
      : Ok(this.pendingVersions.map(describeUpstream));
  }

  private countSent(bytes: number): void {
    this.sentBytes += bytes;
    this.sentCalls += 1;
  }
}

/**
 * Resumes a stream at a node.
 *
 * @param waitForAnswer advances the clock by the time that the node has.
 * @return version to resume at; undefined if it is not known by then.
 */
export async function resumedVersion(
  node: OriginNode,
  requestId: string,
  waitForAnswer: () => Promise<unknown>,
): Promise<string | undefined> {
  let resolved: ResolvedOrigin | undefined;
  void node.resume(requestId).then(origin => {
    resolved = origin;
  });
  await waitForAnswer();
  return resolved && 'origin' in resolved
    ? resolved.origin.softwareVersion
    : undefined;
}

/** Nodes that remember where streams began, on a simulated network. */
export class OriginCluster {
  readonly store = new OriginStore();
  private randomCount = 0;
  readonly nodes: OriginNode[];
  private readonly hidden = new Set<OriginNode>();

  constructor(nodeCount: number) {
    this.nodes = Array.from(
      {length: nodeCount},
      (_, index) => new OriginNode(this, `node-${index}`, index),
    );
  }

  /** Evenly distributed numbers in [0, 1). */
  readonly random = (): number => {
    this.randomCount += 1;
    return (this.randomCount * GOLDEN_RATIO) % 1;
  };

  visibleNodes(): ClusterNode[] {
    return this.nodes
      .filter(node => !this.hidden.has(node))
      .map(node => node.toClusterNode());
  }

  listVersions(...versions: readonly string[]): void {
    for (const node of this.nodes) node.listVersions(...versions);
  }

  /** Ends all processes at once and starts new ones. */
  restartAll(): void {
    for (const node of this.nodes) node.restart(DISCOVERY_MILLISECONDS);
  }

  /** Removes nodes that have ended from the members that the others see. */
  expireGoneNodes(): void {
    for (const node of this.nodes) {
      if (node.isGone) this.hidden.add(node);
    }
  }

  /** Removes nodes from the members that all nodes see. */
  hide(nodes: readonly OriginNode[]): void {
    for (const node of nodes) this.hidden.add(node);
  }

  async call<T>(peerUrl: string, handle: (node: OriginNode) => T | Promise<T>) {
    const callee = this.nodes.find(node => node.peerUrl === peerUrl);
    await pause(LATENCY_MILLISECONDS);
    if (!callee || callee.isGone || callee.isSilent || callee.isFrozen) {
      await pause(CALL_TIMEOUT_MILLISECONDS);
      return Err(new PeerError(peerUrl, 'no answer'));
    }
    const response = await handle(callee);
    await pause(LATENCY_MILLISECONDS);
    return Ok(response);
  }
}

function describeUpstream(softwareVersion: string): UpstreamDescription {
  return {
    id: `upstream-${softwareVersion}`,
    service: SERVICE,
    address: '10.0.0.1:80',
    failureDomain: 'domain-0',
    softwareVersion,
    state: UpstreamState.READY,
    slots: 64,
    startedAt: 1,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
  };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
