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
import {newWorkerRecord, withAnswer, withIntent, withReport} from './ledger.js';
import {LedgerStore} from './ledger_store.js';
import {LoadAllowance} from './load_allowance.js';
import {appendMoves} from './move_log.js';
import {planPlacement} from './placement_plan.js';

/** Reports in a row that must fail before a worker's replicas count as lost. */
const MISSED_REPORTS_TO_GIVE_UP = 3;
/** Shortest time between two passes when an answer wakes the planner. */
const SHORTEST_PAUSE_MILLISECONDS = 100;
/** Renewals tried within one lease. */
const RENEWALS_PER_LEASE = 3;

/** How the planner works. */
export interface PlannerOptions {
  readonly region: string;
  readonly leaseMilliseconds: number;
  readonly intervalMilliseconds: number;
  readonly orderTimeoutMilliseconds: number;
  /** By then an order has taken effect or never will. */
  readonly longestOrderDelayMilliseconds: number;
  readonly moveCost: number;
  readonly minimumStayMilliseconds: number;
  readonly shortWindowMilliseconds: number;
  readonly longWindowMilliseconds: number;
  readonly replicaConcurrency: number;
  readonly weightLoadsPerSecond: number;
  readonly weightLoadsAtOnce: number;
}

/** What the planner learns from the node it runs on. */
export interface PlannerSurroundings {
  /** Engines of the platform's list in this region. */
  engineHosts(): readonly PlatformHost[];
  engine(host: PlatformHost): Engine;
  /** Whether any source says that the upstream is leaving. */
  isLeaving(upstreamId: string): boolean;
  /** Demand over all nodes. */
  demand(): readonly DemandSample[];
  onOrders(orders: readonly PlannedOrder[]): void;
  onProblem(message: string): void;
}

/** An engine's answer, to be settled in the next pass. */
interface PendingAnswer {
  readonly orderId: string;
  readonly isDone: boolean;
}

/** A worker as the planner works on it. */
interface PlannedWorker {
  readonly host: PlatformHost;
  readonly stored: StoredWorker;
  /** The record after reports and answers, and later with intents. */
  record: WorkerRecord;
  readonly isReachable: boolean;
  /** Answers the record has taken in; forgotten once it is written. */
  readonly answeredCount: number;
}

/**
 * Keeps every model of the catalogue loaded. Runs on every node; only the
 * holder of the region's lease gives orders.
 */
export class Planner {
  private readonly ledger: LedgerStore;
  private readonly demand: DemandTracker;
  private readonly allowance: LoadAllowance;
  private readonly cache = new Map<string, StoredWorker>();
  private readonly answers = new Map<string, PendingAnswer[]>();
  private readonly missedReports = new Map<string, number>();
  private readonly orderSeenAt = new Map<string, number>();
  private readonly itemSeenAt = new Map<string, number>();
  private readonly ordersUnderway = new Set<string>();
  private cachedEpoch = 0;
  private wake: () => void = () => {};

  constructor(
    private readonly store: ObjectStore,
    private readonly catalogue: CatalogueHolder,
    private readonly lease: PlannerLease,
    private readonly surroundings: PlannerSurroundings,
    private readonly options: PlannerOptions,
  ) {
    this.ledger = new LedgerStore(store);
    this.demand = new DemandTracker(
      options.shortWindowMilliseconds,
      options.longWindowMilliseconds,
    );
    this.allowance = new LoadAllowance(
      options.weightLoadsPerSecond,
      options.weightLoadsAtOnce,
    );
  }

  /** Runs until the signal is aborted, then gives the lease up. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.keepLease(signal), this.planRegularly(signal)]);
    await this.lease.release();
  }

  /** One pass over all workers; does nothing without the lease. */
  async pass(): Promise<void> {
    this.demand.sample(this.surroundings.demand());
    const catalogue = this.catalogue.current;
    if (!this.lease.isHeld || !catalogue) return;
    if (!(await this.refreshCache())) return;
    const workers = await this.readWorkers();
    const orders = planPlacement({
      catalogue,
      workers: workers.map(worker => this.plannable(worker)),
      expectedDemand: entry => this.demand.expected(entry),
      replicaConcurrency: this.options.replicaConcurrency,
      moveCost: this.options.moveCost,
      hasStayed: (upstreamId, item) => this.hasStayed(upstreamId, item),
      loadAllowance: this.allowance.available(loadsUnderway(workers)),
    });
    const {epoch} = this.lease;
    const given = await Promise.all(
      workers.map(worker => this.carryOut(worker, orders, epoch)),
    );
    const moves = given.flat();
    if (moves.length === 0) return;
    this.surroundings.onOrders(moves);
    await appendMoves(this.store, this.options.region, moves, epoch);
  }

  private async keepLease(signal: AbortSignal): Promise<void> {
    const pause = this.options.leaseMilliseconds / RENEWALS_PER_LEASE;
    while (!signal.aborted) {
      await this.lease.maintain();
      await delay(pause, signal);
    }
  }

  private async planRegularly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.tryPass();
      await delay(SHORTEST_PAUSE_MILLISECONDS, signal);
      await this.waitForWork(signal);
    }
  }

  private async tryPass(): Promise<void> {
    try {
      await this.pass();
    } catch (error) {
      this.surroundings.onProblem(
        `the planner's pass failed: ${String(error)}`,
      );
    }
  }

  /** Waits for the interval, or until an answer came. */
  private async waitForWork(signal: AbortSignal): Promise<void> {
    if (this.answers.size > 0) return;
    const woken = new AbortController();
    this.wake = () => woken.abort();
    await delay(
      this.options.intervalMilliseconds,
      AbortSignal.any([signal, woken.signal]),
    );
    this.wake = () => {};
  }

  /** After gaining the lease all records are read anew. */
  private async refreshCache(): Promise<boolean> {
    if (this.cachedEpoch === this.lease.epoch) return true;
    const {epoch} = this.lease;
    const all = await this.ledger.readAll();
    if (!all.ok) return false;
    this.cache.clear();
    for (const worker of all.val) {
      this.cache.set(worker.record.upstreamId, worker);
    }
    this.cachedEpoch = epoch;
    return true;
  }

  private async readWorkers(): Promise<PlannedWorker[]> {
    const hosts = this.surroundings.engineHosts();
    const read = await Promise.all(hosts.map(host => this.readWorker(host)));
    return read.filter(worker => worker !== undefined);
  }

  /** The worker's record brought up to date by its report and answers. */
  private async readWorker(
    host: PlatformHost,
  ): Promise<PlannedWorker | undefined> {
    const known = this.cache.get(host.id);
    let record = known?.record;
    if (record) this.noteOrders(record);
    const answered = this.answers.get(host.id) ?? [];
    const answeredCount = answered.length;
    for (const {orderId, isDone} of answered) {
      if (record) record = withAnswer(record, orderId, isDone);
    }
    const report = await this.surroundings.engine(host).report();
    if (!report.ok) return this.unreachable(host, known, record, answeredCount);
    this.missedReports.delete(host.id);
    record = withReport(
      record ?? newWorkerRecord(host, report.val),
      report.val,
      {
        checksFencing: host.checksFencing,
        isPastDelay: orderId => this.isPastDelay(orderId),
      },
    );
    this.noteItems(record);
    const stored = known ?? {record, version: undefined};
    return {host, stored, record, isReachable: true, answeredCount};
  }

  private unreachable(
    host: PlatformHost,
    stored: StoredWorker | undefined,
    record: WorkerRecord | undefined,
    answeredCount: number,
  ): PlannedWorker | undefined {
    const missed = (this.missedReports.get(host.id) ?? 0) + 1;
    this.missedReports.set(host.id, missed);
    if (!stored || !record) return undefined;
    if (missed < MISSED_REPORTS_TO_GIVE_UP) {
      return {host, stored, record, isReachable: false, answeredCount};
    }
    return undefined;
  }

  private plannable({host, record, isReachable}: PlannedWorker) {
    const isLeaving =
      host.state === HostState.LEAVING || this.surroundings.isLeaving(host.id);
    const planned: PlannableWorker = {
      record: isLeaving ? withoutReplicas(record) : record,
      takesLoads: isReachable && !isLeaving,
    };
    return planned;
  }

  /** Writes the intents, and only then sends their orders. */
  private async carryOut(
    worker: PlannedWorker,
    orders: readonly PlannedOrder[],
    epoch: number,
  ): Promise<readonly PlannedOrder[]> {
    const {host, stored} = worker;
    const own = orders.filter(({upstreamId}) => upstreamId === host.id);
    const intents: OrderIntent[] = [];
    for (const order of own) {
      const intent = newIntent(order, epoch);
      const next = withIntent(worker.record, intent);
      worker.record = next;
      intents.push(intent);
    }
    if (stored.version !== undefined && isSame(stored.record, worker.record)) {
      this.forgetAnswers(worker);
      return [];
    }
    const written = await this.ledger.write(worker.record, stored.version);
    if (!written.ok) {
      this.surroundings.onProblem(`${host.id}: ${written.val.message}`);
      this.cachedEpoch = 0;
      return [];
    }
    this.cache.set(host.id, written.val);
    this.forgetAnswers(worker);
    this.noteOrders(written.val.record);
    if (intents.length === 0) return [];
    this.allowance.take(intents.filter(isLoad).length);
    for (const intent of intents) void this.send(host, intent);
    return own;
  }

  private forgetAnswers({host, answeredCount}: PlannedWorker): void {
    const left = (this.answers.get(host.id) ?? []).slice(answeredCount);
    if (left.length > 0) this.answers.set(host.id, left);
    else this.answers.delete(host.id);
  }

  /** Sends one order, unless the lease has ended since it was planned. */
  private async send(host: PlatformHost, intent: OrderIntent): Promise<void> {
    if (!this.lease.isHeld || this.lease.epoch !== intent.fence) return;
    this.ordersUnderway.add(intent.orderId);
    const answer = await this.surroundings
      .engine(host)
      .order(intent, this.options.orderTimeoutMilliseconds);
    this.ordersUnderway.delete(intent.orderId);
    if (!answer.ok) {
      this.surroundings.onProblem(
        `${host.id}: order ${intent.orderId}: ${answer.val.message}`,
      );
      if (answer.val.mayHaveRun) return;
    }
    const isDone = answer.ok && answer.val.outcome === OrderOutcome.DONE;
    const pending = this.answers.get(host.id) ?? [];
    pending.push({orderId: intent.orderId, isDone});
    this.answers.set(host.id, pending);
    this.wake();
  }

  private noteOrders({intents}: WorkerRecord): void {
    for (const {orderId} of intents) {
      if (this.orderSeenAt.has(orderId)) continue;
      this.orderSeenAt.set(orderId, performance.now());
    }
  }

  private isPastDelay(orderId: string): boolean {
    if (this.ordersUnderway.has(orderId)) return false;
    const seenAt = this.orderSeenAt.get(orderId) ?? performance.now();
    const age = performance.now() - seenAt;
    return age > this.options.longestOrderDelayMilliseconds;
  }

  private noteItems({upstreamId, items}: WorkerRecord): void {
    for (const {item} of items) {
      const key = `${upstreamId}/${item}`;
      if (!this.itemSeenAt.has(key)) {
        this.itemSeenAt.set(key, performance.now());
      }
    }
  }

  private hasStayed(upstreamId: string, item: string): boolean {
    const seenAt = this.itemSeenAt.get(`${upstreamId}/${item}`);
    if (seenAt === undefined) return false;
    return performance.now() - seenAt > this.options.minimumStayMilliseconds;
  }
}

function newIntent(order: PlannedOrder, epoch: number): OrderIntent {
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

function loadsUnderway(workers: readonly PlannedWorker[]): number {
  return workers.flatMap(({record}) => record.intents).filter(isLoad).length;
}

/** A leaving worker's replicas no longer count, and nothing is ordered. */
function withoutReplicas(record: WorkerRecord): WorkerRecord {
  return {...record, items: [], intents: []};
}

function isSame(left: WorkerRecord, right: WorkerRecord): boolean {
  const strip = (record: WorkerRecord) =>
    JSON.stringify({...record, writeId: ''});
  return strip(left) === strip(right);
}
