import 'reflect-metadata';

import type {CatalogueEntry, CatalogueSync} from '@arbutustide/catalogue';
import type {
  ConfirmConfigurationResponseFields,
  FindStreamOriginResponseFields,
  LeaseQuotaResponseFields,
  ExchangeRequest,
  ExchangeResponse,
  PeerHandler,
  PromisedHoldings,
  RelayResponsePart,
} from '@arbutustide/membership';
import type {DependencyContainer} from 'tsyringe';

import type {NodeDependencies} from './node_dependencies.js';

import {deleteExpiredClaims} from '@arbutustide/claims';
import {delay, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {NodeState} from '@arbutustide/membership';
import {inject, injectable} from 'tsyringe';

import {NODE_DEPENDENCIES} from './node_dependencies.js';
import {
  ADMISSION_CONTROLLER,
  CATALOGUE_HOLDER,
  CATALOGUE_SYNC,
  CLUSTER_VIEW,
  DISPATCHER,
  GOSSIP,
  HOST_WATCHER,
  NODE_STATUS_PUBLISHER,
  PLANNER,
  PLANNER_LEASE,
  REPORT_POLLER,
  UPSTREAM_DIRECTORY,
} from './node_core_tokens.js';

/** Interval at which the planner's lease holder deletes expired claims. */
const CLAIM_SWEEP_INTERVAL_MILLISECONDS = 60_000;
/**
 * Interval between two updates of this node's member record, as a share of the
 * gossip interval.
 */
const PUBLISH_INTERVAL_SHARE = 0.5;

/**
 * A node without its HTTP servers: the request dispatcher and the background
 * tasks for gossip, catalogue, host list, upstream reports and placement. All
 * external systems are accessed through the interfaces in `NodeDependencies`.
 */
@injectable()
export class NodeCore implements PeerHandler {
  readonly catalogueHolder;
  readonly dispatcher;
  readonly upstreamDirectory;
  readonly clusterView;
  readonly statusPublisher;
  readonly plannerLease;
  private readonly catalogueSync: CatalogueSync;
  private readonly admissionController;
  private readonly gossip;
  private readonly hostWatcher;
  private readonly reportPoller;
  private readonly planner;
  private readonly stopController = new AbortController();
  private readonly planningStopController = new AbortController();
  private readonly backgroundTasks: Promise<void>[] = [];
  private planningTask: Promise<void> = Promise.resolve();

  constructor(
    @inject(NODE_DEPENDENCIES) private readonly dependencies: NodeDependencies,
    @inject('container') container: DependencyContainer,
  ) {
    this.catalogueHolder = container.resolve(CATALOGUE_HOLDER);
    this.catalogueSync = container.resolve(CATALOGUE_SYNC);
    this.dispatcher = container.resolve(DISPATCHER);
    this.upstreamDirectory = container.resolve(UPSTREAM_DIRECTORY);
    this.clusterView = container.resolve(CLUSTER_VIEW);
    this.statusPublisher = container.resolve(NODE_STATUS_PUBLISHER);
    this.gossip = container.resolve(GOSSIP);
    this.hostWatcher = container.resolve(HOST_WATCHER);
    this.reportPoller = container.resolve(REPORT_POLLER);
    this.planner = container.resolve(PLANNER);
    this.plannerLease = container.resolve(PLANNER_LEASE);
    this.admissionController = container.resolve(ADMISSION_CONTROLLER);
    this.catalogueHolder.onRevision(({revision}) =>
      this.applyRevision(revision),
    );
  }

  /** Mean service time of requests to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.admissionController.serviceMilliseconds(entry);
  }

  /** Whether this node is ready to serve callers. */
  get isReady(): boolean {
    return this.statusPublisher.state === NodeState.READY;
  }

  /** Whether the node is shutting down. */
  get isLeaving(): boolean {
    return this.statusPublisher.state === NodeState.LEAVING;
  }

  /**
   * Starts the background tasks. The host list is fetched first, so that gossip
   * and routing start with known hosts.
   */
  async start(): Promise<void> {
    const {signal} = this.stopController;
    await this.hostWatcher.refresh();
    this.gossip.start();
    this.backgroundTasks.push(
      this.hostWatcher.run(signal),
      this.catalogueSync.run(signal),
      this.reportPoller.run(signal),
      this.publishStatusPeriodically(signal),
      this.sweepClaimsPeriodically(signal),
    );
    if (this.dependencies.settings.planner.enabled) {
      this.planningTask = this.planner.run(this.planningStopController.signal);
    }
  }

  /**
   * Publishes the state `LEAVING` to all known peers at once and stops the
   * planner. Requests are still served.
   */
  async announceLeaving(): Promise<void> {
    this.statusPublisher.setState(NodeState.LEAVING);
    this.planningStopController.abort();
    await Promise.all([this.gossip.exchangeNow(), this.planningTask]);
  }

  /**
   * Stops the background tasks after the dispatcher has recorded the outcome of
   * every request.
   */
  async stop(): Promise<void> {
    this.planningStopController.abort();
    await this.dispatcher.waitUntilIdle();
    this.stopController.abort();
    this.gossip.stop();
    await Promise.all([...this.backgroundTasks, this.planningTask]);
  }

  exchange(request: ExchangeRequest): ExchangeResponse {
    return this.gossip.handleExchange(request);
  }

  catalogueHeadJson(): string {
    const {head} = this.catalogueHolder;
    return head ? JSON.stringify(head) : '';
  }

  catalogueContentJson(digest: string): string {
    const content = this.catalogueSync.findContent(digest);
    return content === undefined ? '' : JSON.stringify(content);
  }

  /**
   * Promises nothing: nodes with a catalogue plan placement from its entries
   * and do not accept requests for a placement.
   */
  /** Nodes with the project's own interface watch the store themselves. */
  async serveWatch(): Promise<undefined> {
    return undefined;
  }

  async requestHolding(): Promise<undefined> {
    return undefined;
  }

  async requestHoldings(
    requests: readonly unknown[],
  ): Promise<PromisedHoldings> {
    return requests.map(() => undefined);
  }

  /** Streams of the project's own interface are not resumed by callers. */
  recordStreamOrigins(): void {}

  async findStreamOrigin(): Promise<FindStreamOriginResponseFields> {
    return {isKnown: false};
  }

  /** Nodes of the project's own interface pass no requests on. */
  async *relayRequest(): AsyncGenerator<RelayResponsePart> {
    const reason = 'this node passes no requests on';
    const {NOT_READY: kind} = ErrorKind;
    const ran = ExecutionStatus.NOT_EXECUTED;
    yield {part: {case: 'refusal', value: {kind, message: reason, ran}}};
  }

  /** Teams and quotas exist on proxied routes only. */
  confirmConfiguration(): ConfirmConfigurationResponseFields {
    return {isKnown: false};
  }

  leaseQuota(): LeaseQuotaResponseFields {
    return {grants: []};
  }

  /** Retries on the project's own interface are not shared. */
  lendRetries(): number {
    return 0;
  }

  /** Upstreams on the project's own interface name no rate limits. */
  issueToken(): undefined {
    return undefined;
  }

  private applyRevision(revision: number): void {
    const {metrics, logger} = this.dependencies;
    metrics.catalogueRevision.set(revision);
    logger.info({revision}, 'catalogue revision activated');
    const isStarting = this.statusPublisher.state === NodeState.STARTING;
    this.statusPublisher.setState(
      isStarting ? NodeState.READY : this.statusPublisher.state,
    );
  }

  private async publishStatusPeriodically(signal: AbortSignal): Promise<void> {
    const {intervalMilliseconds} = this.dependencies.settings.gossip;
    while (!signal.aborted) {
      this.statusPublisher.publish();
      this.reportPoller.applyPeerObservations();
      await delay(intervalMilliseconds * PUBLISH_INTERVAL_SHARE, signal);
    }
  }

  private async sweepClaimsPeriodically(signal: AbortSignal): Promise<void> {
    const {store, settings} = this.dependencies;
    while (await delay(CLAIM_SWEEP_INTERVAL_MILLISECONDS, signal)) {
      if (!this.plannerLease.isHeld) continue;
      await deleteExpiredClaims(store, settings.claims.retentionMilliseconds);
    }
  }
}
