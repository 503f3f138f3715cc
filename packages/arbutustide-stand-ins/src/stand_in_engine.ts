import type {
  CacheEvent,
  EngineOrder,
  EngineReport,
  OrderAnswer,
  ResidentItem,
} from '@arbutustide/upstream';

import type {GenerationRequest} from './generation.js';

import {createHash, randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';
import {AttemptState, OrderKind, OrderOutcome} from '@arbutustide/upstream';

import {Generation, GenerationState} from './generation.js';

/** A prompt that contains this text crashes the engine. */
export const CRASH_PROMPT_MARKER = 'CRASH-THE-ENGINE';

const PREFIX_LENGTH_CHARACTERS = 512;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 10;

/** Fetches an item's weights; resolves when the transfer is done. */
export type WeightFetcher = (item: string) => Promise<void>;

/** Capacity, timing and faults of a stand-in engine. */
export interface StandInEngineOptions {
  readonly memoryBytes: number;
  readonly acceleratorCount: number;
  /** Whether it rejects an order with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Requests decoded in one batch; the others queue by priority. */
  readonly maximumConcurrency: number;
  /** Time to the first token; a quarter of that on a prefix cache hit. */
  readonly firstTokenMilliseconds: number;
  /** Time between tokens when idle; up to twice that with a full batch. */
  readonly tokenMilliseconds: number;
  /** Duration of a load after its weights were fetched. */
  readonly loadMilliseconds: number;
  /** Prefixes that its cache holds before it evicts the least recent. */
  readonly maximumCachedPrefixes: number;
  /** Age of the load in its reports. */
  readonly reportLagMilliseconds: number;
  readonly fetchWeights: WeightFetcher;
}

/** An attempt that the engine started to execute. */
export interface RecordedRun {
  readonly requestId: string;
  readonly attemptId: string;
  readonly item: string;
  readonly prompt: string;
  readonly generation: Generation;
  /** When it started, on the monotonic clock. */
  readonly atMilliseconds: number;
}

/** A load after which the engine held more memory than it has. */
export interface RecordedOvercommit {
  readonly heldBytes: number;
  readonly capacityBytes: number;
  readonly orderId: string;
}

/** An order that the engine received, with its outcome. */
export interface RecordedOrder {
  readonly order: EngineOrder;
  readonly outcome: OrderOutcome;
}

interface QueuedGeneration {
  readonly generation: Generation;
  readonly start: () => void;
}

interface LoadSample {
  readonly atMilliseconds: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** A least-recently-used prefix cache that records insertions and evictions. */
class PrefixCache {
  readonly events: CacheEvent[] = [];
  private readonly itemsByDigest = new Map<string, string>();

  constructor(private readonly capacity: number) {}

  /** Looks up the prefix of a prompt, caching it on a miss; returns a hit. */
  access(item: string, prompt: string): boolean {
    const prefix = `${item}\0${prompt.slice(0, PREFIX_LENGTH_CHARACTERS)}`;
    const digest = createHash('sha1').update(prefix).digest('hex');
    const isHit = this.itemsByDigest.delete(digest);
    this.itemsByDigest.set(digest, item);
    if (isHit) return true;
    this.recordEvent(true, item, digest);
    this.evict();
    return false;
  }

  private evict(): void {
    const oldest = this.itemsByDigest.entries().next().value;
    if (this.itemsByDigest.size <= this.capacity || !oldest) return;
    this.itemsByDigest.delete(oldest[0]);
    this.recordEvent(false, oldest[1], oldest[0]);
  }

  private recordEvent(
    isStored: boolean,
    item: string,
    prefixDigest: string,
  ): void {
    const sequence = this.events.length + 1;
    this.events.push({sequence, isStored, item, prefixDigest});
  }
}

/**
 * A model engine with continuous batching and a prefix cache. It executes the
 * planner's orders without checking its memory, and records every over-commit,
 * so that a test can detect a planner that exceeds the capacity.
 */
export class StandInEngine {
  readonly runs: RecordedRun[] = [];
  readonly orders: RecordedOrder[] = [];
  readonly overcommits: RecordedOvercommit[] = [];
  isLeaving = false;
  cacheHits = 0;
  private currentInstanceId = randomUUID();
  private residentItems = new Map<string, ResidentItem>();
  /** Items whose weights are being loaded; they already occupy memory. */
  private readonly loadingItems = new Map<string, ResidentItem>();
  private readonly drainingItems = new Map<string, ResidentItem>();
  /** Item of the base model by item of the adapter. */
  private readonly baseItemByAdapter = new Map<string, string>();
  private highestFencingNumber = 0;
  private runningGenerations = new Set<Generation>();
  private queuedGenerations: QueuedGeneration[] = [];
  private readonly generationByAttemptId = new Map<string, Generation>();
  private prefixCache: PrefixCache;
  private readonly loadSamples: LoadSample[] = [];

  /** @param onCrash called after a marked prompt crashed the engine. */
  constructor(
    readonly options: StandInEngineOptions,
    private readonly onCrash: () => void = () => {},
  ) {
    this.prefixCache = new PrefixCache(options.maximumCachedPrefixes);
  }

  /** Changes with every restart. */
  get instanceId(): string {
    return this.currentInstanceId;
  }

  /** Memory of all items being loaded, resident or draining, in bytes. */
  get heldBytes(): number {
    const items = new Map([
      ...this.loadingItems,
      ...this.drainingItems,
      ...this.residentItems,
    ]);
    return [...items.values()].reduce((sum, item) => sum + item.memoryBytes, 0);
  }

  /** Whether the item is resident and, for an adapter, its base model too. */
  canServe(item: string): boolean {
    const baseItem = this.baseItemByAdapter.get(item);
    const hasBase = baseItem === undefined || this.residentItems.has(baseItem);
    return this.residentItems.has(item) && hasBase;
  }

  /** Starts or queues a request; a marked prompt crashes the engine instead. */
  startGeneration(request: GenerationRequest): Generation {
    const generation = new Generation(request);
    this.generationByAttemptId.set(request.attemptId, generation);
    const {requestId, attemptId, item, prompt} = request;
    const atMilliseconds = performance.now();
    this.runs.push({
      requestId,
      attemptId,
      item,
      prompt,
      generation,
      atMilliseconds,
    });
    if (prompt.includes(CRASH_PROMPT_MARKER)) {
      this.runningGenerations.add(generation);
      this.crash();
      this.onCrash();
      return generation;
    }
    this.startOrQueue(generation);
    return generation;
  }

  /** The generation of an attempt, for resuming its stream. */
  findGeneration(attemptId: string): Generation | undefined {
    return this.generationByAttemptId.get(attemptId);
  }

  /** The state of an attempt; `UNKNOWN` for one from before a restart. */
  findAttemptState(attemptId: string): AttemptState {
    const generation = this.generationByAttemptId.get(attemptId);
    if (!generation) return AttemptState.UNKNOWN;
    return generation.state === GenerationState.RUNNING
      ? AttemptState.RUNNING
      : AttemptState.FINISHED;
  }

  /** Executes an order unless its fencing number is outdated. */
  async executeOrder(order: EngineOrder): Promise<OrderAnswer> {
    const instanceIdAtStart = this.currentInstanceId;
    const outcome = this.acceptFence(order)
      ? await this.dispatchOrder(order)
      : OrderOutcome.FENCED;
    this.orders.push({order, outcome});
    return {orderId: order.orderId, outcome, engineStart: instanceIdAtStart};
  }

  /** The report that nodes poll; its load lags by the configured time. */
  createReport(): EngineReport {
    const {memoryBytes, acceleratorCount} = this.options;
    return {
      engineStart: this.currentInstanceId,
      memoryBytes,
      acceleratorCount,
      resident: [
        ...this.residentItems.values(),
        ...this.drainingItems.values(),
      ],
      ...this.sampleLaggedLoad(),
      isLeaving: this.isLeaving,
    };
  }

  /** Prefix cache events after a sequence number. */
  cacheEventsAfter(afterSequence: number): CacheEvent[] {
    return this.prefixCache.events.slice(afterSequence);
  }

  /** Simulates a restart: requests, items and fencing state are lost. */
  crash(): void {
    const lost = [
      ...this.runningGenerations,
      ...this.queuedGenerations.map(({generation}) => generation),
    ];
    this.runningGenerations = new Set();
    this.queuedGenerations = [];
    this.residentItems = new Map();
    this.loadingItems.clear();
    this.drainingItems.clear();
    this.generationByAttemptId.clear();
    this.prefixCache = new PrefixCache(this.options.maximumCachedPrefixes);
    this.highestFencingNumber = 0;
    this.currentInstanceId = randomUUID();
    for (const generation of lost) generation.stop(GenerationState.CRASHED);
  }

  /** Checks the fencing number of an order and remembers the highest one. */
  private acceptFence(order: EngineOrder): boolean {
    if (this.options.checksFencing && order.fence < this.highestFencingNumber) {
      return false;
    }
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fence,
    );
    return true;
  }

  private dispatchOrder(order: EngineOrder): Promise<OrderOutcome> {
    return ORDER_HANDLERS[order.kind](this, order);
  }

  /** Loads an item; its memory counts as held from the start of the load. */
  async load(order: EngineOrder): Promise<OrderOutcome> {
    const {item, memoryBytes, baseItem} = order;
    if (this.residentItems.has(item)) return OrderOutcome.DONE;
    if (baseItem !== undefined && !this.residentItems.has(baseItem)) {
      return OrderOutcome.REFUSED;
    }
    if (baseItem !== undefined) this.baseItemByAdapter.set(item, baseItem);
    const instanceIdAtStart = this.currentInstanceId;
    this.loadingItems.set(item, {item, memoryBytes, isDraining: false});
    this.checkForOvercommit(order.orderId);
    await this.options.fetchWeights(item);
    await delay(this.options.loadMilliseconds);
    if (instanceIdAtStart !== this.currentInstanceId)
      return OrderOutcome.REFUSED;
    this.loadingItems.delete(item);
    this.residentItems.set(item, {item, memoryBytes, isDraining: false});
    return OrderOutcome.DONE;
  }

  /** Stops admitting requests for an item, drains them, then frees it. */
  async unload(order: EngineOrder): Promise<OrderOutcome> {
    const held = this.residentItems.get(order.item);
    if (!held) return OrderOutcome.DONE;
    const instanceIdAtStart = this.currentInstanceId;
    this.residentItems.delete(order.item);
    this.drainingItems.set(order.item, {...held, isDraining: true});
    while (this.hasUnfinishedGeneration(order.item))
      await delay(DRAIN_POLL_INTERVAL_MILLISECONDS);
    if (instanceIdAtStart !== this.currentInstanceId) return OrderOutcome.DONE;
    this.drainingItems.delete(order.item);
    return OrderOutcome.DONE;
  }

  private hasUnfinishedGeneration(item: string): boolean {
    const queued = this.queuedGenerations.map(({generation}) => generation);
    return [...this.runningGenerations, ...queued].some(
      generation => generation.request.item === item,
    );
  }

  private checkForOvercommit(orderId: string): void {
    const {heldBytes} = this;
    const capacityBytes = this.options.memoryBytes;
    if (heldBytes <= capacityBytes) return;
    this.overcommits.push({heldBytes, capacityBytes, orderId});
  }

  private startOrQueue(generation: Generation): void {
    const start = () => void this.runGeneration(generation);
    if (this.runningGenerations.size < this.options.maximumConcurrency) {
      start();
      return;
    }
    this.queuedGenerations.push({generation, start});
    this.queuedGenerations.sort(
      (left, right) =>
        left.generation.request.priority - right.generation.request.priority,
    );
  }

  private async runGeneration(generation: Generation): Promise<void> {
    this.runningGenerations.add(generation);
    const {item, prompt} = generation.request;
    const isHit = this.prefixCache.access(item, prompt);
    if (isHit) this.cacheHits += 1;
    const {
      firstTokenMilliseconds,
      tokenMilliseconds,
      maximumConcurrency: concurrency,
    } = this.options;
    await generation.produceTokens(
      isHit ? firstTokenMilliseconds / 4 : firstTokenMilliseconds,
      () =>
        tokenMilliseconds * (1 + this.runningGenerations.size / concurrency),
    );
    this.runningGenerations.delete(generation);
    if (this.runningGenerations.size < concurrency)
      this.queuedGenerations.shift()?.start();
  }

  private sampleLaggedLoad() {
    const now = performance.now();
    this.loadSamples.push({
      atMilliseconds: now,
      inFlight: this.runningGenerations.size,
      queued: this.queuedGenerations.length,
    });
    const newestVisibleAtMilliseconds =
      now - this.options.reportLagMilliseconds;
    while (
      this.loadSamples.length > 1 &&
      this.loadSamples[1].atMilliseconds <= newestVisibleAtMilliseconds
    ) {
      this.loadSamples.shift();
    }
    const {inFlight, queued} = this.loadSamples[0];
    return {inFlight, queued};
  }
}

type OrderHandler = (
  engine: StandInEngine,
  order: EngineOrder,
) => Promise<OrderOutcome>;

const ORDER_HANDLERS: Readonly<Record<OrderKind, OrderHandler>> = {
  [OrderKind.LOAD]: (engine, order) => engine.load(order),
  [OrderKind.UNLOAD]: (engine, order) => engine.unload(order),
};

/** Defaults for tests that set only the options they need. */
export const DEFAULT_ENGINE_OPTIONS: StandInEngineOptions = {
  memoryBytes: 80_000_000_000,
  acceleratorCount: 8,
  checksFencing: true,
  maximumConcurrency: 32,
  firstTokenMilliseconds: 20,
  tokenMilliseconds: 5,
  loadMilliseconds: 50,
  maximumCachedPrefixes: 64,
  reportLagMilliseconds: 200,
  fetchWeights: () => Promise.resolve(),
};
