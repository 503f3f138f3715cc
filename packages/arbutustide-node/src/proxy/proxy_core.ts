import type {RefusalError} from '@arbutustide/errors';
import type {ClusterNode, PeerHandler} from '@arbutustide/membership';
import type {
  ProxyDispatcher,
  RoutedRequest,
  RouteTable,
  ServingConfiguration,
  UpstreamSignals,
} from '@arbutustide/routing';
import type {Authenticator} from '@arbutustide/teams';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {DependencyContainer} from 'tsyringe';

import type {ConfigurationLogFields} from './configuration_log_fields.js';
import type {ProxyDependencies} from './proxy_dependencies.js';
import type {StopState} from './stop_state.js';

import {delay} from '@arbutustide/errors';
import {NodeState} from '@arbutustide/membership';
import {DepartureSource} from '@arbutustide/routing';

import {readConfigurationLogFields} from './configuration_log_fields.js';
import {readPeerCrashEvidence} from './crash_evidence_fields.js';
import {createPeerStateRefresher} from './create_peer_state_refresher.js';
import {handOverStalledStreams} from './hand_over_stalled_streams.js';
import {PeerBootstrap} from './peer_bootstrap.js';
import {createPeerIdentity, seedPeerUrls} from './peer_identity.js';
import {ProxyToken} from './proxy_tokens.js';
import {
  RECORD_SYNC_INTERVAL_MILLISECONDS,
  QUEUE_CHECK_INTERVAL_MILLISECONDS,
  LEASE_RENEWAL_SHARE,
  LEASE_STANDBY_NODES,
} from './proxy_tuning.js';
import {createProxyContainer} from './proxy_wiring.js';
import {ProxyPeerHandler} from './proxy_peer_handler.js';
import {isUnfitToPlan} from './relay/is_unfit_to_plan.js';
import {PublishedRateLimits} from './rate_limit/published_rate_limits.js';
import {readStopState} from './stop_state.js';

/**
 * Core of a node that proxies requests to upstreams by route, without its HTTP
 * servers. Runs the background tasks: gossip, watches on the object store, the
 * election for the planner's lease and the planner itself. Answers the calls of
 * its peers.
 */
export class ProxyCore {
  /** Finds the teams of callers' requests. */
  readonly authenticator: Authenticator;
  readonly dispatcher: ProxyDispatcher;
  readonly logger: NodeLogger;
  /** Answers the calls of peers. */
  readonly peerHandler: PeerHandler;
  private readonly self;
  private readonly container: DependencyContainer;
  private readonly stopController = new AbortController();
  private readonly planningStopController = new AbortController();
  private backgroundTasks: Promise<void>[] = [];
  private planningTasks: Promise<void>[] = [];

  constructor(private readonly dependencies: ProxyDependencies) {
    this.logger = dependencies.logger;
    this.self = createPeerIdentity(dependencies.settings);
    this.container = createProxyContainer(dependencies, this.self);
    this.authenticator = this.container.resolve(ProxyToken.AUTHENTICATOR);
    this.dispatcher = this.container.resolve(ProxyToken.DISPATCHER);
    this.peerHandler = new ProxyPeerHandler(this.container, this.self.identity);
    const queue = this.container.resolve(ProxyToken.REQUEST_QUEUE);
    this.container
      .resolve(ProxyToken.UPSTREAM_DIRECTORY)
      .onChange(() => queue.scheduleScan());
    this.onConfiguration(({version}) => {
      dependencies.metrics.catalogueRevision.set(version);
      this.markReadyOnConfiguration();
    });
  }

  /** Routes of the current configuration; undefined until there is one. */
  get routes(): RouteTable | undefined {
    return this.container.resolve(ProxyToken.CONFIGURATION_WATCHER).routes;
  }

  /** The configuration that decides now, for the log. */
  get configurationLogFields(): ConfigurationLogFields {
    return readConfigurationLogFields(this.container);
  }

  /** Whether this node has a configuration and the balancer may choose it. */
  get isReady(): boolean {
    return this.status.state === NodeState.READY && !this.confirmer.isCutOff;
  }

  /** Whether requests with keys are refused, as keys may have been revoked. */
  get isUnconfirmed(): boolean {
    return this.confirmer.isRefusing;
  }

  /** Whether a graceful shutdown has begun. */
  get isLeaving(): boolean {
    return this.status.state === NodeState.LEAVING;
  }

  /** The refusal of a request that comes too late in a graceful shutdown. */
  refuseWhileLeaving(request: RoutedRequest): RefusalError | undefined {
    return this.container
      .resolve(ProxyToken.SHUTDOWN_ADMISSION)
      .refuse(request);
  }

  /** What a graceful shutdown would lose if it ended now. */
  get stopState(): StopState {
    return readStopState(this.container);
  }

  /** Number of peers' requests that this node passes on. */
  get relayedRequestsInFlight(): number {
    return this.container.resolve(ProxyToken.RELAY_SERVER).inFlightRequests;
  }

  /**
   * Registers a listener for configurations. It is called at once if there is
   * one already, and whenever a newer one is applied.
   */
  onConfiguration(
    listener: (configuration: ServingConfiguration) => void,
  ): void {
    this.container
      .resolve(ProxyToken.CONFIGURATION_WATCHER)
      .onConfiguration(listener);
  }

  /** Applies what an upstream said of itself in answer to a control call. */
  recordUpstreamSignals(upstreamId: string, signals: UpstreamSignals): void {
    const upstream = this.container
      .resolve(ProxyToken.UPSTREAM_DIRECTORY)
      .get(upstreamId);
    if (!upstream) return;
    upstream.reachability.recordData();
    this.container.resolve(ProxyToken.SIGNALS_HANDLER)(upstream, signals);
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.stopController;
    const {container} = this;
    container.resolve(ProxyToken.GOSSIP).start();
    this.updateSeedPeers();
    this.backgroundTasks = [
      container.resolve(ProxyToken.CONFIGURATION_WATCHER).run(signal),
      container.resolve(ProxyToken.UPSTREAM_WATCHER).run(signal),
      this.createBootstrap().run(signal),
      createPeerStateRefresher(container, this.dependencies, () =>
        this.listPeers(),
      ).run(signal),
      this.syncRecordsPeriodically(signal),
      container.resolve(ProxyToken.REACHABILITY_MONITOR).run(signal),
      this.wakeQueuePeriodically(signal),
      this.confirmer.run(signal),
    ];
    const planningSignal = this.planningStopController.signal;
    this.planningTasks = [
      this.runLeaseElection(planningSignal),
      container.resolve(ProxyToken.PLANNER).run(planningSignal),
    ];
  }

  /**
   * Begins a graceful shutdown: notifies peers, fails the readiness check,
   * stops planning and releases the lease. Requests in flight continue.
   *
   * @param sinceMilliseconds when it was asked for, by the monotonic clock.
   */
  async leave(sinceMilliseconds: number): Promise<void> {
    this.status.setState(NodeState.LEAVING);
    const shutdownAdmission = this.container.resolve(
      ProxyToken.SHUTDOWN_ADMISSION,
    );
    shutdownAdmission.begin(sinceMilliseconds);
    void this.refuseLateRequests();
    void handOverStalledStreams(this.dispatcher, this.stopController.signal);
    this.planningStopController.abort();
    await Promise.all(this.planningTasks);
    await this.container.resolve(ProxyToken.PLANNER_LEASE).release();
    await this.container.resolve(ProxyToken.TEAM_QUOTAS).release();
    await this.container.resolve(ProxyToken.GOSSIP).exchangeNow();
  }

  /** Refuses or breaks off all requests that are still in flight. */
  giveUpRequests(): void {
    this.dispatcher.giveUp();
  }

  /** Stops the background tasks. Call it after the last request has ended. */
  async stop(): Promise<void> {
    this.stopController.abort();
    this.container.resolve(ProxyToken.GOSSIP).stop();
    await Promise.all(this.backgroundTasks);
  }

  private get confirmer() {
    return this.container.resolve(ProxyToken.CONFIGURATION_CONFIRMER);
  }

  private get status() {
    return this.container.resolve(ProxyToken.OWN_STATUS);
  }

  /** Refuses queued requests once they can no longer end before this node. */
  private async refuseLateRequests(): Promise<void> {
    const queue = this.container.resolve(ProxyToken.REQUEST_QUEUE);
    const admission = this.container.resolve(ProxyToken.SHUTDOWN_ADMISSION);
    const {signal} = this.stopController;
    while (admission.hasTimeLeft && !signal.aborted) {
      queue.refuseQueued(progress => admission.refuseWaiting(progress));
      await delay(QUEUE_CHECK_INTERVAL_MILLISECONDS, signal);
    }
    queue.close();
  }

  private markReadyOnConfiguration(): void {
    if (this.status.state !== NodeState.STARTING) return;
    this.status.setState(NodeState.READY);
  }

  private createBootstrap(): PeerBootstrap {
    const {container, logger} = this;
    const {transport, random} = this.dependencies;
    return new PeerBootstrap({
      transport,
      listPeers: () => this.listPeers(),
      configurationWatcher: container.resolve(ProxyToken.CONFIGURATION_WATCHER),
      upstreamWatcher: container.resolve(ProxyToken.UPSTREAM_WATCHER),
      random,
      logger,
    });
  }

  /**
   * Gives gossip the addresses to start from: the seeds of the settings and the
   * last known holder of the planner's lease.
   */
  private updateSeedPeers(): void {
    const peers = [...this.seedPeerUrls()].map(url => ({
      url,
      failureDomain: '',
    }));
    this.container.resolve(ProxyToken.GOSSIP).setListedPeers(peers);
  }

  /** All known nodes without this one. */
  private listPeers(): ClusterNode[] {
    return this.container
      .resolve(ProxyToken.CLUSTER_VIEW)
      .nodes()
      .filter(({identity}) => identity !== this.self.identity);
  }

  private seedPeerUrls(): Set<string> {
    const {settings} = this.dependencies;
    const {lastHolder} = this.container.resolve(ProxyToken.PLANNER_LEASE);
    const urls = seedPeerUrls(settings, lastHolder);
    urls.delete(this.self.peerUrl);
    return urls;
  }

  /**
   * Publishes this node's status, and applies to the directory what peers have
   * published: their load on each upstream, and the holdings that the planner
   * announced. The active planner skips its own announcements. Holdings count
   * only for the process of the upstream that they were published for.
   */
  private async syncRecordsPeriodically(signal: AbortSignal): Promise<void> {
    const clusterView = this.container.resolve(ProxyToken.CLUSTER_VIEW);
    const directory = this.container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
    const leadership = this.container.resolve(ProxyToken.PLANNER_LEADERSHIP);
    const poisonSegmentDetector = this.container.resolve(
      ProxyToken.POISON_SEGMENT_DETECTOR,
    );
    const reachableShare = this.container.resolve(ProxyToken.REACHABLE_SHARE);
    const teamQuotas = this.container.resolve(ProxyToken.TEAM_QUOTAS);
    const streamOrigins = this.container.resolve(ProxyToken.STREAM_ORIGINS);
    const brittleServices = this.container.resolve(ProxyToken.BRITTLE_SERVICES);
    const publishedRateLimits = new PublishedRateLimits(directory);
    while (!signal.aborted) {
      this.status.publish();
      reachableShare.update();
      teamQuotas.update();
      streamOrigins.updateVersions();
      brittleServices.setToldByPeers(clusterView.brittleServices());
      publishedRateLimits.apply(clusterView.peerRateLimits());
      for (const [id, startedAt] of clusterView.departures())
        directory.markLeaving({id, startedAt}, DepartureSource.REPORT);
      poisonSegmentDetector.update(readPeerCrashEvidence(clusterView));
      const holdings = clusterView.plannerHoldings();
      const isPlanner = leadership.checkLeadership();
      for (const upstream of directory.all()) {
        upstream.peersInFlight = clusterView.peerRequestsInFlight(upstream.id);
        upstream.domainPeersInFlight = clusterView.peerRequestsInFlight(
          upstream.id,
          this.dependencies.settings.failureDomain,
        );
        if (isPlanner) continue;
        const plannedHoldings = holdings.get(upstream.id);
        const isSameProcess =
          plannedHoldings?.upstreamStartedAt ===
          BigInt(upstream.description.startedAt);
        upstream.setPlannedHoldings(
          isSameProcess ? plannedHoldings.held : undefined,
        );
      }
      directory.notifyListeners();
      await delay(RECORD_SYNC_INTERVAL_MILLISECONDS, signal);
    }
  }

  private async wakeQueuePeriodically(signal: AbortSignal): Promise<void> {
    const queue = this.container.resolve(ProxyToken.REQUEST_QUEUE);
    while (await delay(QUEUE_CHECK_INTERVAL_MILLISECONDS, signal))
      queue.scheduleScan();
  }

  /**
   * Whether this node is one of the standbys: the first ready nodes by
   * identity, the planner left out.
   */
  private isStandby(planner: ClusterNode): boolean {
    const clusterView = this.container.resolve(ProxyToken.CLUSTER_VIEW);
    const candidates = clusterView
      .readyNodes()
      .map(({identity}) => identity)
      .filter(identity => identity !== planner.identity)
      .sort();
    const position = candidates.indexOf(this.self.identity);
    return position >= 0 && position < LEASE_STANDBY_NODES;
  }

  private isUnfitToPlan(): boolean {
    const monitor = this.container.resolve(ProxyToken.REACHABILITY_MONITOR);
    const clusterView = this.container.resolve(ProxyToken.CLUSTER_VIEW);
    const services = this.routes?.configuration.services;
    const cutOffServices = [...monitor.cutOffServices()].filter(
      service => services?.get(service)?.engine,
    );
    const mayPeerReach = (service: string) =>
      clusterView
        .readyNodes()
        .some(
          ({identity}) =>
            identity !== this.self.identity &&
            !clusterView.lostUpstreamsOf(identity, service)?.isCutOff,
        );
    return isUnfitToPlan({cutOffServices, mayPeerReach});
  }

  /**
   * Renews the lease while this node leads. Other nodes try to acquire it when
   * no live planner is known; standbys try all the time, so that a failed
   * planner is replaced soon. Without a configuration no node tries, nor does
   * one whose orders would not reach the engines.
   */
  private async runLeaseElection(signal: AbortSignal): Promise<void> {
    const lease = this.container.resolve(ProxyToken.PLANNER_LEASE);
    const leadership = this.container.resolve(ProxyToken.PLANNER_LEADERSHIP);
    const clusterView = this.container.resolve(ProxyToken.CLUSTER_VIEW);
    const holderProbe = this.container.resolve(ProxyToken.LEASE_HOLDER_PROBE);
    const {leaseMilliseconds} = this.dependencies.settings;
    while (!signal.aborted) {
      if (this.isUnfitToPlan()) await lease.release();
      const planner = leadership.checkLeadership()
        ? undefined
        : clusterView.findPlanner();
      const shouldAttempt =
        planner === undefined ||
        !holderProbe.wasHeardRecently(planner.identity) ||
        this.isStandby(planner);
      if (shouldAttempt && this.routes && !this.isUnfitToPlan()) {
        await lease.acquireOrRenew();
        this.updateSeedPeers();
      }
      await delay(leaseMilliseconds * LEASE_RENEWAL_SHARE, signal);
    }
  }
}
