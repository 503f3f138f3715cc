import type {
  ClusterNode,
  ExchangeRequest,
  ExchangeResponse,
  HoldingRequest,
  PeerHandler,
  PromisedHolding,
} from '@arbutustide/membership';
import type {
  FleetDispatcher,
  RouteTable,
  ServingConfiguration,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {DependencyContainer} from 'tsyringe';

import type {FleetDependencies} from './fleet_dependencies.js';

import {delay} from '@arbutustide/errors';
import {NodeState} from '@arbutustide/membership';

import {formatSnapshot, PeerBootstrap} from './peer_bootstrap.js';
import {drawIdentity, peerUrlOfIdentity} from './fleet_identity.js';
import {FleetToken} from './fleet_tokens.js';
import {
  PUBLISH_MILLISECONDS,
  QUEUE_CHECK_MILLISECONDS,
  RENEWAL_SHARE,
  STANDBY_NODES,
  WAITS_END_SHARE,
} from './fleet_tuning.js';
import {createFleetContainer} from './fleet_wiring.js';

/** A node that serves routes, without its HTTP servers. */
export class FleetCore implements PeerHandler {
  readonly dispatcher: FleetDispatcher;
  readonly logger: NodeLogger;
  private readonly identity;
  private readonly parts: DependencyContainer;
  private readonly stopped = new AbortController();
  private readonly planningStopped = new AbortController();
  private tasks: Promise<void>[] = [];
  private planning: Promise<void>[] = [];

  constructor(private readonly dependencies: FleetDependencies) {
    this.logger = dependencies.logger;
    this.identity = drawIdentity(dependencies.settings);
    this.parts = createFleetContainer(dependencies, this.identity);
    this.dispatcher = this.parts.resolve(FleetToken.DISPATCHER);
    const queue = this.parts.resolve(FleetToken.QUEUE);
    this.parts.resolve(FleetToken.DIRECTORY).onChange(() => queue.wake());
    this.onConfiguration(() => this.takeConfiguration());
  }

  /** The routes in force; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.parts.resolve(FleetToken.CONFIGURATION).routes;
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    return this.status.state === NodeState.READY;
  }

  /** Whether a stop has been asked for. */
  get isLeaving(): boolean {
    return this.status.state === NodeState.LEAVING;
  }

  /** Calls back with each configuration. */
  onConfiguration(
    listener: (configuration: ServingConfiguration) => void,
  ): void {
    this.parts.resolve(FleetToken.CONFIGURATION).onConfiguration(listener);
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.stopped;
    const {parts} = this;
    parts.resolve(FleetToken.GOSSIP).start();
    this.listPeers();
    this.tasks = [
      parts.resolve(FleetToken.CONFIGURATION).run(signal),
      parts.resolve(FleetToken.UPSTREAMS).run(signal),
      this.createBootstrap().run(signal),
      this.publishRegularly(signal),
      this.checkQueueRegularly(signal),
    ];
    const planning = this.planningStopped.signal;
    this.planning = [
      this.keepLease(planning),
      parts.resolve(FleetToken.PLANNER).run(planning),
    ];
  }

  /** Tells the surroundings that this node is about to stop. */
  async leave(): Promise<void> {
    this.status.setState(NodeState.LEAVING);
    this.endWaitsLater();
    this.planningStopped.abort();
    await Promise.all(this.planning);
    await this.parts.resolve(FleetToken.LEASE).release();
    await this.parts.resolve(FleetToken.GOSSIP).spreadNow();
  }

  /** Ends the background tasks, after the last request. */
  async stop(): Promise<void> {
    this.stopped.abort();
    this.parts.resolve(FleetToken.GOSSIP).stop();
    await Promise.all(this.tasks);
  }

  exchange(request: ExchangeRequest): ExchangeResponse {
    return this.parts.resolve(FleetToken.GOSSIP).answer(request);
  }

  /** What a peer needs that starts while the store is away. */
  headJson(): string {
    const {stored} = this.parts.resolve(FleetToken.CONFIGURATION);
    const upstreams = this.parts.resolve(FleetToken.UPSTREAMS);
    if (!stored && !upstreams.hasList) return '';
    return formatSnapshot(stored, upstreams.stored, upstreams.ageMilliseconds);
  }

  contentJson(): string {
    return '';
  }

  requestHolding({
    service,
    model,
    adapter,
  }: HoldingRequest): Promise<PromisedHolding | undefined> {
    const wanted = adapter === '' ? undefined : adapter;
    return this.parts
      .resolve(FleetToken.PLANNER)
      .request(service, model, wanted);
  }

  private get status() {
    return this.parts.resolve(FleetToken.OWN_STATUS);
  }

  /** Lets requests wait for a place only while there is time to run them. */
  private endWaitsLater(): void {
    const {stopMilliseconds} = this.dependencies.settings;
    const queue = this.parts.resolve(FleetToken.QUEUE);
    void delay(stopMilliseconds * WAITS_END_SHARE, this.stopped.signal).then(
      () => queue.close(),
    );
  }

  private takeConfiguration(): void {
    if (this.status.state !== NodeState.STARTING) return;
    this.status.setState(NodeState.READY);
  }

  private createBootstrap(): PeerBootstrap {
    const {parts} = this;
    return new PeerBootstrap(
      this.dependencies.transport,
      () => [...this.peerUrls()],
      parts.resolve(FleetToken.CONFIGURATION),
      parts.resolve(FleetToken.UPSTREAMS),
      this.logger,
    );
  }

  /** Peers named by the settings, and the holder of the planner's lease. */
  private listPeers(): void {
    const peers = [...this.listedUrls()].map(url => ({url, failureDomain: ''}));
    this.parts.resolve(FleetToken.GOSSIP).setListed(peers);
  }

  /** All peers known, those first that the settings name. */
  private peerUrls(): Set<string> {
    const urls = this.listedUrls();
    const view = this.parts.resolve(FleetToken.CLUSTER_VIEW);
    for (const {peerUrl} of view.nodes()) urls.add(peerUrl);
    urls.delete(this.identity.peerUrl);
    return urls;
  }

  private listedUrls(): Set<string> {
    const {settings} = this.dependencies;
    const urls = new Set(
      settings.seedAddresses.map(
        address => `http://${address}:${settings.peerPort}`,
      ),
    );
    const {lastHolder} = this.parts.resolve(FleetToken.LEASE);
    const holderUrl = peerUrlOfIdentity(lastHolder);
    if (holderUrl) urls.add(holderUrl);
    urls.delete(this.identity.peerUrl);
    return urls;
  }

  /** Writes what this node does, and applies what the planner tells. */
  private async publishRegularly(signal: AbortSignal): Promise<void> {
    const view = this.parts.resolve(FleetToken.CLUSTER_VIEW);
    const directory = this.parts.resolve(FleetToken.DIRECTORY);
    const tenure = this.parts.resolve(FleetToken.TENURE);
    while (!signal.aborted) {
      this.status.publish();
      const holdings = view.holdings();
      for (const upstream of directory.all()) {
        upstream.peersInFlight = view.peerLoad(upstream.id);
        if (tenure.checkActive()) continue;
        const planned = holdings.get(upstream.id);
        const isSameProcess =
          planned?.upstreamStartedAt === BigInt(upstream.description.startedAt);
        upstream.takePlanned(isSameProcess ? planned.held : undefined);
      }
      directory.changed();
      await delay(PUBLISH_MILLISECONDS, signal);
    }
  }

  private async checkQueueRegularly(signal: AbortSignal): Promise<void> {
    const queue = this.parts.resolve(FleetToken.QUEUE);
    while (await delay(QUEUE_CHECK_MILLISECONDS, signal)) queue.wake();
  }

  /** Whether this node is among the first that are to replace the planner. */
  private isStandby(planner: ClusterNode): boolean {
    const view = this.parts.resolve(FleetToken.CLUSTER_VIEW);
    const others = view
      .readyNodes()
      .map(({identity}) => identity)
      .filter(identity => identity !== planner.identity)
      .sort();
    const position = others.indexOf(this.identity.identity);
    return position >= 0 && position < STANDBY_NODES;
  }

  /** Renews the lease, or tries to gain it while no planner is heard of. */
  private async keepLease(signal: AbortSignal): Promise<void> {
    const lease = this.parts.resolve(FleetToken.LEASE);
    const tenure = this.parts.resolve(FleetToken.TENURE);
    const view = this.parts.resolve(FleetToken.CLUSTER_VIEW);
    const check = this.parts.resolve(FleetToken.HOLDER_CHECK);
    const {leaseMilliseconds} = this.dependencies.settings;
    while (!signal.aborted) {
      const planner = tenure.checkActive() ? undefined : view.planner();
      const isNeeded =
        planner === undefined ||
        !check.isHeard(planner.identity) ||
        this.isStandby(planner);
      if (isNeeded && this.routes) {
        await lease.maintain();
        this.listPeers();
      }
      await delay(leaseMilliseconds * RENEWAL_SHARE, signal);
    }
  }
}
