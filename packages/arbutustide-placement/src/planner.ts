import type {CatalogueHolder} from '@arbutustide/catalogue';
import type {ObjectStore} from '@arbutustide/object-store';
import type {Engine, PlatformHost} from '@arbutustide/upstream';

import type {DemandSample} from './demand_tracker.js';
import type {StoredWorker} from './ledger_store.js';
import type {PlannableWorker, PlannedOrder} from './plan_types.js';
import type {PlannerLease} from './planner_lease.js';
import type {OrderIntent, WorkerRecord} from './worker_record.js';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';
import {HostState, OrderKind, OrderOutcome} from '@arbutustide/upstream';

import {DemandTracker} from './demand_tracker.js';
import {
  addIntent,
  applyOrderAnswer,
  applyReport,
  createWorkerRecord,
} from './ledger.js';
import {LedgerStore} from './ledger_store.js';
import {LoadRateLimiter} from './load_rate_limiter.js';
import {appendMoves} from './move_log.js';
import {planPlacement} from './placement_plan.js';

/** Consecutive failed reports after which a worker's replicas don't count. */
const MISSED_REPORTS_UNTIL_LOST = 3;
/** Minimum pause between passes when an answer triggers one early. */
const MINIMUM_PASS_PAUSE_MILLISECONDS = 100;
/** Lease renewals attempted within one lease duration. */
const RENEWAL_ATTEMPTS_PER_LEASE = 3;

/** Settings of the planner. */
export interface PlannerOptions {
  readonly region: string;
  readonly leaseMilliseconds: number;
  readonly intervalMilliseconds: number;
  readonly orderTimeoutMilliseconds: number;
  /** Time after which an order has taken effect or never will. */
  readonly longestOrderDelayMilliseconds: number;
  readonly moveCost: number;
  readonly minimumStayMilliseconds: number;
  readonly shortWindowMilliseconds: number;
  readonly longWindowMilliseconds: number;
  readonly replicaConcurrency: number;
  readonly weightLoadsPerSecond: number;
  readonly weightLoadsAtOnce: number;
}

/** What the planner reads from its node, and the events it reports to it. */
export interface PlannerEnvironment {
  /** Engines of this region in the platform's host list. */
  engineHosts(): readonly PlatformHost[];
  engine(host: PlatformHost): Engine;
  /** Whether any source reports the upstream as leaving. */
  isLeaving(upstreamId: string): boolean;
  /** Current demand for each entry, summed over all nodes. */
  sampleDemand(): readonly DemandSample[];
  /** Called with orders whose intents are stored. */
  onOrdersStored(orders: readonly PlannedOrder[]): void;
  /** Called when a pass, a ledger write or an order failed. */
  onError(message: string): void;
}

/** An engine's answer to an order, applied to the record in the next pass. */
interface PendingOrderAnswer {
  readonly orderId: string;
  readonly isDone: boolean;
}

/** A worker's state during one planning pass. */
interface WorkerPassState {
  readonly host: PlatformHost;
  readonly stored: StoredWorker;
  /** The record with report and answers applied; intents are added later. */
  record: WorkerRecord;
  readonly isReachable: boolean;
  /** Answers applied to the record; discarded once it is written. */
  readonly answerCount: number;
}

/**
 * Keeps every model of the catalogue loaded. Runs on every node, but only the
 * holder of the region's lease sends orders.
 */
export class Planner {
  private readonly ledger: LedgerStore;
  private readonly demandTracker: DemandTracker;
  private readonly loadRateLimiter: LoadRateLimiter;
  private readonly recordCache = new Map<string, StoredWorker>();
  private readonly pendingAnswers = new Map<string, PendingOrderAnswer[]>();
  private readonly missedReports = new Map<string, number>();
  private readonly orderFirstSeenAt = new Map<string, number>();
  private readonly itemFirstSeenAt = new Map<string, number>();
  private readonly ordersInFlight = new Set<string>();
  private cacheEpoch = 0;
  private wake: () => void = () => {};

  constructor(
    private readonly store: ObjectStore,
    private readonly catalogue: CatalogueHolder,
    private readonly lease: PlannerLease,
    private readonly environment: PlannerEnvironment,
    private readonly options: PlannerOptions,
  ) {
    this.ledger = new LedgerStore(store);
    this.demandTracker = new DemandTracker(
      options.shortWindowMilliseconds,
      options.longWindowMilliseconds,
    );
    this.loadRateLimiter = new LoadRateLimiter(
      options.weightLoadsPerSecond,
      options.weightLoadsAtOnce,
    );
  }

  /** Runs until the signal is aborted, then releases the lease. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.maintainLease(signal), this.runPasses(signal)]);
    await this.lease.release();
  }

  /** Samples demand; the lease holder also plans and sends orders. */
  async runPass(): Promise<void> {
    this.demandTracker.recordSamples(this.environment.sampleDemand());
    const catalogue = this.catalogue.current;
    if (!this.lease.isHeld || !catalogue) return;
    if (!(await this.reloadCacheOnNewEpoch())) return;
    const workers = await this.readWorkers();
    const orders = planPlacement({
      catalogue,
      workers: workers.map(worker => this.toPlannableWorker(worker)),
      expectedDemand: entry => this.demandTracker.expectedConcurrency(entry),
      replicaConcurrency: this.options.replicaConcurrency,
      moveCost: this.options.moveCost,
      hasMetMinimumStay: (upstreamId, item) =>
        this.hasMetMinimumStay(upstreamId, item),
      maximumNewLoads: this.loadRateLimiter.availableLoads(
        countLoadsInProgress(workers),
      ),
    });
    const {epoch} = this.lease;
    const storedOrders = await Promise.all(
      workers.map(worker => this.writeIntentsAndSend(worker, orders, epoch)),
    );
    const moves = storedOrders.flat();
    if (moves.length === 0) return;
    this.environment.onOrdersStored(moves);
    await appendMoves(this.store, this.options.region, moves, epoch);
  }

  private async maintainLease(signal: AbortSignal): Promise<void> {
    const renewalIntervalMilliseconds =
      this.options.leaseMilliseconds / RENEWAL_ATTEMPTS_PER_LEASE;
    while (!signal.aborted) {
      await this.lease.acquireOrRenew();
      await delay(renewalIntervalMilliseconds, signal);
    }
  }

  private async runPasses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runPassReportingErrors();
      await delay(MINIMUM_PASS_PAUSE_MILLISECONDS, signal);
      await this.waitForIntervalOrAnswer(signal);
    }
  }

  private async runPassReportingErrors(): Promise<void> {
    try {
      await this.runPass();
    } catch (error) {
      this.environment.onError(
        `planning pass failed, will retry: ${String(error)}`,
      );
    }
  }

  /** Waits for the planning interval or the next answer to an order. */
  private async waitForIntervalOrAnswer(signal: AbortSignal): Promise<void> {
    if (this.pendingAnswers.size > 0) return;
    const wakeController = new AbortController();
    this.wake = () => wakeController.abort();
    await delay(
      this.options.intervalMilliseconds,
      AbortSignal.any([signal, wakeController.signal]),
    );
    this.wake = () => {};
  }

  /** Reloads all records after a lease gain or a failed write. */
  private async reloadCacheOnNewEpoch(): Promise<boolean> {
    if (this.cacheEpoch === this.lease.epoch) return true;
    const {epoch} = this.lease;
    const storedWorkers = await this.ledger.readAll();
    if (!storedWorkers.ok) return false;
    this.recordCache.clear();
    for (const worker of storedWorkers.val) {
      this.recordCache.set(worker.record.upstreamId, worker);
    }
    this.cacheEpoch = epoch;
    return true;
  }

  private async readWorkers(): Promise<WorkerPassState[]> {
    const hosts = this.environment.engineHosts();
    const workers = await Promise.all(hosts.map(host => this.readWorker(host)));
    return workers.filter(worker => worker !== undefined);
  }

  /** Applies the pending answers and a new report to the worker's record. */
  private async readWorker(
    host: PlatformHost,
  ): Promise<WorkerPassState | undefined> {
    const known = this.recordCache.get(host.id);
    let record = known?.record;
    if (record) this.recordFirstSeenOrders(record);
    const answers = this.pendingAnswers.get(host.id) ?? [];
    const answerCount = answers.length;
    for (const {orderId, isDone} of answers) {
      if (record) record = applyOrderAnswer(record, orderId, isDone);
    }
    const report = await this.environment.engine(host).fetchReport();
    if (!report.ok) return this.onReportError(host, known, record, answerCount);
    this.missedReports.delete(host.id);
    record = applyReport(
      record ?? createWorkerRecord(host, report.val),
      report.val,
      {
        checksFencing: host.checksFencing,
        isPastLongestDelay: orderId => this.isPastLongestDelay(orderId),
      },
    );
    this.recordFirstSeenItems(record);
    const stored = known ?? {record, version: undefined};
    return {host, stored, record, isReachable: true, answerCount};
  }

  private onReportError(
    host: PlatformHost,
    stored: StoredWorker | undefined,
    record: WorkerRecord | undefined,
    answerCount: number,
  ): WorkerPassState | undefined {
    const missedCount = (this.missedReports.get(host.id) ?? 0) + 1;
    this.missedReports.set(host.id, missedCount);
    if (!stored || !record) return undefined;
    if (missedCount < MISSED_REPORTS_UNTIL_LOST) {
      return {host, stored, record, isReachable: false, answerCount};
    }
    return undefined;
  }

  private toPlannableWorker({host, record, isReachable}: WorkerPassState) {
    const isLeaving =
      host.state === HostState.LEAVING || this.environment.isLeaving(host.id);
    const planned: PlannableWorker = {
      record: isLeaving ? withoutReplicas(record) : record,
      takesLoads: isReachable && !isLeaving,
    };
    return planned;
  }

  /** Stores a worker's intents before sending their orders. */
  private async writeIntentsAndSend(
    worker: WorkerPassState,
    orders: readonly PlannedOrder[],
    epoch: number,
  ): Promise<readonly PlannedOrder[]> {
    const {host, stored} = worker;
    const assigned = orders.filter(({upstreamId}) => upstreamId === host.id);
    const intents: OrderIntent[] = [];
    for (const order of assigned) {
      const intent = createIntent(order, epoch);
      const updatedRecord = addIntent(worker.record, intent);
      worker.record = updatedRecord;
      intents.push(intent);
    }
    if (
      stored.version !== undefined &&
      hasSameContent(stored.record, worker.record)
    ) {
      this.discardAnswers(worker);
      return [];
    }
    const written = await this.ledger.write(worker.record, stored.version);
    if (!written.ok) {
      this.environment.onError(
        `${host.id}: ledger write failed, reloading: ${written.val.message}`,
      );
      this.cacheEpoch = 0;
      return [];
    }
    this.recordCache.set(host.id, written.val);
    this.discardAnswers(worker);
    this.recordFirstSeenOrders(written.val.record);
    if (intents.length === 0) return [];
    this.loadRateLimiter.recordStarted(intents.filter(isLoad).length);
    for (const intent of intents) void this.sendOrder(host, intent);
    return assigned;
  }

  private discardAnswers({host, answerCount}: WorkerPassState): void {
    const remaining = (this.pendingAnswers.get(host.id) ?? []).slice(
      answerCount,
    );
    if (remaining.length > 0) this.pendingAnswers.set(host.id, remaining);
    else this.pendingAnswers.delete(host.id);
  }

  /** Sends one order unless the lease was lost after it was planned. */
  private async sendOrder(
    host: PlatformHost,
    intent: OrderIntent,
  ): Promise<void> {
    if (!this.lease.isHeld || this.lease.epoch !== intent.fence) return;
    this.ordersInFlight.add(intent.orderId);
    const answer = await this.environment
      .engine(host)
      .sendOrder(intent, this.options.orderTimeoutMilliseconds);
    this.ordersInFlight.delete(intent.orderId);
    if (!answer.ok) {
      this.environment.onError(
        `${host.id}: order ${intent.orderId} failed: ${answer.val.message}`,
      );
      if (answer.val.mayHaveRun) return;
    }
    const isDone = answer.ok && answer.val.outcome === OrderOutcome.DONE;
    const pending = this.pendingAnswers.get(host.id) ?? [];
    pending.push({orderId: intent.orderId, isDone});
    this.pendingAnswers.set(host.id, pending);
    this.wake();
  }

  private recordFirstSeenOrders({intents}: WorkerRecord): void {
    for (const {orderId} of intents) {
      if (this.orderFirstSeenAt.has(orderId)) continue;
      this.orderFirstSeenAt.set(orderId, performance.now());
    }
  }

  private isPastLongestDelay(orderId: string): boolean {
    if (this.ordersInFlight.has(orderId)) return false;
    const seenAt = this.orderFirstSeenAt.get(orderId) ?? performance.now();
    const age = performance.now() - seenAt;
    return age > this.options.longestOrderDelayMilliseconds;
  }

  private recordFirstSeenItems({upstreamId, items}: WorkerRecord): void {
    for (const {item} of items) {
      const key = `${upstreamId}/${item}`;
      if (!this.itemFirstSeenAt.has(key)) {
        this.itemFirstSeenAt.set(key, performance.now());
      }
    }
  }

  private hasMetMinimumStay(upstreamId: string, item: string): boolean {
    const seenAt = this.itemFirstSeenAt.get(`${upstreamId}/${item}`);
    if (seenAt === undefined) return false;
    return performance.now() - seenAt > this.options.minimumStayMilliseconds;
  }
}

function createIntent(order: PlannedOrder, epoch: number): OrderIntent {
  const {kind, item, memoryBytes, baseItem} = order;
  return {
    orderId: randomUUID(),
    kind,
    item,
    memoryBytes,
    ...(baseItem !== undefined && {baseItem}),
    fence: epoch,
  };
}

function isLoad({kind}: OrderIntent): boolean {
  return kind === OrderKind.LOAD;
}

function countLoadsInProgress(workers: readonly WorkerPassState[]): number {
  return workers.flatMap(({record}) => record.intents).filter(isLoad).length;
}

/** Hides a leaving worker's replicas, so that it gets no orders either. */
function withoutReplicas(record: WorkerRecord): WorkerRecord {
  return {...record, items: [], intents: []};
}

function hasSameContent(left: WorkerRecord, right: WorkerRecord): boolean {
  const serialize = (record: WorkerRecord) =>
    JSON.stringify({...record, writeId: ''});
  return serialize(left) === serialize(right);
}
