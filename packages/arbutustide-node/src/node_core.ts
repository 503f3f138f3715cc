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

import {DEPENDENCIES} from './node_dependencies.js';
import {
  ADMISSION,
  CATALOGUE_HOLDER,
  CATALOGUE_SYNC,
  CLUSTER_VIEW,
  DISPATCHER,
  GOSSIP,
  HOST_WATCHER,
  OWN_STATUS,
  PLANNER,
  PLANNER_LEASE,
  REPORT_POLLER,
  UPSTREAM_DIRECTORY,
} from './tokens.js';

/** Time between two sweeps of old claims by the lease holder. */
const CLAIM_SWEEP_MILLISECONDS = 60_000;
/** Share of the gossip interval after which the own record is written. */
const PUBLISH_SHARE = 0.5;

/**
 * A node without its HTTP servers: the background tasks and the dispatcher.
 * Everything outside it is behind the interfaces of `NodeDependencies`.
 */
@injectable()
export class NodeCore implements PeerHandler {
  readonly holder;
  readonly dispatcher;
  readonly directory;
  readonly view;
  readonly status;
  readonly lease;
  private readonly sync: CatalogueSync;
  private readonly admission;
  private readonly gossip;
  private readonly hosts;
  private readonly poller;
  private readonly planner;
  private readonly stopped = new AbortController();
  private readonly planningStopped = new AbortController();
  private readonly tasks: Promise<void>[] = [];
  private planning: Promise<void> = Promise.resolve();

  constructor(
    @inject(DEPENDENCIES) private readonly dependencies: NodeDependencies,
    @inject('container') container: DependencyContainer,
  ) {
    this.holder = container.resolve(CATALOGUE_HOLDER);
    this.sync = container.resolve(CATALOGUE_SYNC);
    this.dispatcher = container.resolve(DISPATCHER);
    this.directory = container.resolve(UPSTREAM_DIRECTORY);
    this.view = container.resolve(CLUSTER_VIEW);
    this.status = container.resolve(OWN_STATUS);
    this.gossip = container.resolve(GOSSIP);
    this.hosts = container.resolve(HOST_WATCHER);
    this.poller = container.resolve(REPORT_POLLER);
    this.planner = container.resolve(PLANNER);
    this.lease = container.resolve(PLANNER_LEASE);
    this.admission = container.resolve(ADMISSION);
    this.holder.onRevision(({revision}) => this.takeRevision(revision));
  }

  /** Mean time of one request to the entry, in milliseconds. */
  serviceMilliseconds(entry: CatalogueEntry): number {
    return this.admission.serviceMilliseconds(entry);
  }

  /** Whether callers are served. */
  get isReady(): boolean {
    return this.status.state === NodeState.READY;
  }

  /** Whether a stop has been asked for. */
  get isLeaving(): boolean {
    return this.status.state === NodeState.LEAVING;
  }

  /** Starts the background tasks. */
  async start(): Promise<void> {
    const {signal} = this.stopped;
    await this.hosts.refresh();
    this.gossip.start();
    this.tasks.push(
      this.hosts.run(signal),
      this.sync.run(signal),
      this.poller.run(signal),
      this.publishRegularly(signal),
      this.sweepRegularly(signal),
    );
    if (this.dependencies.settings.planner.enabled) {
      this.planning = this.planner.run(this.planningStopped.signal);
    }
  }

  /** Tells the other nodes that this one leaves, and stops planning. */
  async announceLeaving(): Promise<void> {
    this.status.setState(NodeState.LEAVING);
    this.planningStopped.abort();
    await Promise.all([this.gossip.spreadNow(), this.planning]);
  }

  /** Ends the background tasks, after the last request. */
  async stop(): Promise<void> {
    this.planningStopped.abort();
    await this.dispatcher.idle();
    this.stopped.abort();
    this.gossip.stop();
    await Promise.all([...this.tasks, this.planning]);
  }

  exchange(request: ExchangeRequest): ExchangeResponse {
    return this.gossip.answer(request);
  }

  headJson(): string {
    const {head} = this.holder;
    return head ? JSON.stringify(head) : '';
  }

  contentJson(digest: string): string {
    const content = this.sync.content(digest);
    return content === undefined ? '' : JSON.stringify(content);
  }

  /** Nodes that serve a catalogue place models without being asked. */
  async requestHolding(): Promise<undefined> {
    return undefined;
  }

  private takeRevision(revision: number): void {
    const {metrics, logger} = this.dependencies;
    metrics.catalogueRevision.set(revision);
    logger.info({revision}, 'catalogue in force');
    const isStarting = this.status.state === NodeState.STARTING;
    this.status.setState(isStarting ? NodeState.READY : this.status.state);
  }

  private async publishRegularly(signal: AbortSignal): Promise<void> {
    const {intervalMilliseconds} = this.dependencies.settings.gossip;
    while (!signal.aborted) {
      this.status.publish();
      this.poller.takeObservations();
      await delay(intervalMilliseconds * PUBLISH_SHARE, signal);
    }
  }

  private async sweepRegularly(signal: AbortSignal): Promise<void> {
    const {store, settings} = this.dependencies;
    while (await delay(CLAIM_SWEEP_MILLISECONDS, signal)) {
      if (!this.lease.isHeld) continue;
      await sweepClaims(store, settings.claims.retentionMilliseconds);
    }
  }
}
