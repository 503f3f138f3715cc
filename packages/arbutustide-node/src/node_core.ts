import 'reflect-metadata';

import type {CatalogueEntry, CatalogueSync} from '@arbutustide/catalogue';
import type {
  ExchangeRequest,
  ExchangeResponse,
  PeerHandler,
} from '@arbutustide/membership';
import type {DependencyContainer} from 'tsyringe';

import type {NodeDependencies} from './node_dependencies.js';

import {sweepClaims} from '@arbutustide/claims';
import {delay} from '@arbutustide/errors';
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

/** Time between two sweeps of old claims by the lease holder. */
const CLAIM_SWEEP_INTERVAL_MILLISECONDS = 60_000;
/** Share of the gossip interval after which the own record is written. */
const PUBLISH_INTERVAL_SHARE = 0.5;

/**
 * A node without its HTTP servers: the background tasks and the dispatcher.
 * Everything outside it is behind the interfaces of `NodeDependencies`.
 */
@injectable()
export class NodeCore implements PeerHandler {
  readonly holder;
  readonly dispatcher;
  readonly upstreamDirectory;
  readonly clusterView;
  readonly statusPublisher;
  readonly lease;
  private readonly catalogueSync: CatalogueSync;
  private readonly admission;
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
    this.holder = container.resolve(CATALOGUE_HOLDER);
    this.catalogueSync = container.resolve(CATALOGUE_SYNC);
    this.dispatcher = container.resolve(DISPATCHER);
    this.upstreamDirectory = container.resolve(UPSTREAM_DIRECTORY);
    this.clusterView = container.resolve(CLUSTER_VIEW);
    this.statusPublisher = container.resolve(NODE_STATUS_PUBLISHER);
    this.gossip = container.resolve(GOSSIP);
    this.hostWatcher = container.resolve(HOST_WATCHER);
    this.reportPoller = container.resolve(REPORT_POLLER);
    this.planner = container.resolve(PLANNER);
    this.lease = container.resolve(PLANNER_LEASE);
    this.admission = container.resolve(ADMISSION_CONTROLLER);
    this.holder.onRevision(({revision}) => this.applyRevision(revision));
  }

  /** Mean time of one request to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.admission.serviceMilliseconds(entry);
  }

  /** Whether callers are served. */
  get isReady(): boolean {
    return this.statusPublisher.state === NodeState.READY;
  }

  /** Whether a stop has been asked for. */
  get isLeaving(): boolean {
    return this.statusPublisher.state === NodeState.LEAVING;
  }

  /** Starts the background tasks. */
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

  /** Tells the other nodes that this one leaves, and stops planning. */
  async announceLeaving(): Promise<void> {
    this.statusPublisher.setState(NodeState.LEAVING);
    this.planningStopController.abort();
    await Promise.all([this.gossip.spreadNow(), this.planningTask]);
  }

  /** Ends the background tasks, after the last request. */
  async stop(): Promise<void> {
    this.planningStopController.abort();
    await this.dispatcher.idle();
    this.stopController.abort();
    this.gossip.stop();
    await Promise.all([...this.backgroundTasks, this.planningTask]);
  }

  exchange(request: ExchangeRequest): ExchangeResponse {
    return this.gossip.answer(request);
  }

  headJson(): string {
    const {head} = this.holder;
    return head ? JSON.stringify(head) : '';
  }

  contentJson(digest: string): string {
    const content = this.catalogueSync.content(digest);
    return content === undefined ? '' : JSON.stringify(content);
  }

  /** Nodes that serve a catalogue place models without being asked. */
  async requestHolding(): Promise<undefined> {
    return undefined;
  }

  private applyRevision(revision: number): void {
    const {metrics, logger} = this.dependencies;
    metrics.catalogueRevision.set(revision);
    logger.info({revision}, 'catalogue in force');
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
      if (!this.lease.isHeld) continue;
      await sweepClaims(store, settings.claims.retentionMilliseconds);
    }
  }
}
