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

import {Generation, GenerationEnd} from './generation.js';

/** A prompt that contains this takes the engine down. */
export const CRASH_MARKER = 'CRASH-THE-ENGINE';

const PREFIX_CHARACTERS = 512;
const DRAIN_CHECK_MILLISECONDS = 10;

/** Fetches weights at the rate the weight store allows. */
export type WeightFetcher = (item: string) => Promise<void>;

/** What an engine stand-in is like. */
export interface EngineOptions {
  readonly memoryBytes: number;
  readonly acceleratorCount: number;
  /** Whether it refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Requests decoded together; the rest wait by priority. */
  readonly concurrency: number;
  readonly firstTokenMilliseconds: number;
  readonly tokenMilliseconds: number;
  readonly loadMilliseconds: number;
  /** Prefixes its cache holds. */
  readonly cachedPrefixes: number;
  /** Age of the load figures in its reports. */
  readonly reportLagMilliseconds: number;
  readonly fetchWeights: WeightFetcher;
}

/** A run of a request as the engine saw it. */
export interface RecordedRun {
  readonly requestId: string;
  readonly attemptId: string;
  readonly item: string;
  readonly prompt: string;
  readonly generation: Generation;
  /** When it began, by the monotonic clock. */
  readonly atMilliseconds: number;
}

/** Memory held beyond the engine's capacity, as the engine saw it. */
export interface RecordedOvercommit {
  readonly heldBytes: number;
  readonly capacityBytes: number;
  readonly orderId: string;
}

/** An order as the engine saw it. */
export interface RecordedOrder {
  readonly order: EngineOrder;
  readonly outcome: OrderOutcome;
}

interface WaitingRun {
  readonly generation: Generation;
  readonly start: () => void;
}

interface LoadFigures {
  readonly atMilliseconds: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** A prefix cache of bounded size that tells of its changes. */
class PrefixCache {
  readonly events: CacheEvent[] = [];
  private readonly held = new Map<string, string>();

  constructor(private readonly capacity: number) {}

  /** Uses a prompt's prefix; returns whether it was cached. */
  use(item: string, prompt: string): boolean {
    const prefix = `${item}\0${prompt.slice(0, PREFIX_CHARACTERS)}`;
    const digest = createHash('sha1').update(prefix).digest('hex');
    const isHit = this.held.delete(digest);
    this.held.set(digest, item);
    if (isHit) return true;
    this.note(true, item, digest);
    this.evict();
    return false;
  }

  private evict(): void {
    const oldest = this.held.entries().next().value;
    if (this.held.size <= this.capacity || !oldest) return;
    this.held.delete(oldest[0]);
    this.note(false, oldest[1], oldest[0]);
  }

  private note(isStored: boolean, item: string, prefixDigest: string): void {
    const sequence = this.events.length + 1;
    this.events.push({sequence, isStored, item, prefixDigest});
  }
}

/**
 * A model engine: batches continuously, caches prefixes, takes orders, and
 * never refuses memory but records every over-commit.
 */
export class EngineModel {
  readonly runs: RecordedRun[] = [];
  readonly orders: RecordedOrder[] = [];
  readonly overcommits: RecordedOvercommit[] = [];
  isLeaving = false;
  cacheHits = 0;
  private engineStart = randomUUID();
  private resident = new Map<string, ResidentItem>();
  /** Items whose weights are being loaded; they hold memory as well. */
  private readonly loading = new Map<string, ResidentItem>();
  private readonly draining = new Map<string, ResidentItem>();
  /** Item of the model each adapter was loaded for. */
  private readonly baseItems = new Map<string, string>();
  private highestFence = 0;
  private running = new Set<Generation>();
  private waiting: WaitingRun[] = [];
  private readonly generations = new Map<string, Generation>();
  private cache: PrefixCache;
  private readonly figures: LoadFigures[] = [];

  /** @param onCrash called when a request takes the engine down. */
  constructor(
    readonly options: EngineOptions,
    private readonly onCrash: () => void = () => {},
  ) {
    this.cache = new PrefixCache(options.cachedPrefixes);
  }

  get start(): string {
    return this.engineStart;
  }

  /** Memory held by items resident or being loaded, in bytes. */
  get heldBytes(): number {
    const items = new Map([
      ...this.loading,
      ...this.draining,
      ...this.resident,
    ]);
    return [...items.values()].reduce((sum, item) => sum + item.memoryBytes, 0);
  }

  /** Whether a request to the item can be run; an adapter needs its base. */
  holds(item: string): boolean {
    const baseItem = this.baseItems.get(item);
    const hasBase = baseItem === undefined || this.resident.has(baseItem);
    return this.resident.has(item) && hasBase;
  }

  /** Runs a request; a marked one takes the engine down instead. */
  begin(request: GenerationRequest): Generation {
    const generation = new Generation(request);
    this.generations.set(request.attemptId, generation);
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
    if (prompt.includes(CRASH_MARKER)) {
      this.running.add(generation);
      this.crash();
      this.onCrash();
      return generation;
    }
    this.schedule(generation);
    return generation;
  }

  /** The generation of an attempt, to resume its stream. */
  generation(attemptId: string): Generation | undefined {
    return this.generations.get(attemptId);
  }

  /** What is known of an attempt. */
  attemptState(attemptId: string): AttemptState {
    const generation = this.generations.get(attemptId);
    if (!generation) return AttemptState.UNKNOWN;
    return generation.end === GenerationEnd.RUNNING
      ? AttemptState.RUNNING
      : AttemptState.FINISHED;
  }

  /** Carries out an order. */
  async order(order: EngineOrder): Promise<OrderAnswer> {
    const start = this.engineStart;
    const outcome = this.accepts(order)
      ? await this.carryOut(order)
      : OrderOutcome.FENCED;
    this.orders.push({order, outcome});
    return {orderId: order.orderId, outcome, engineStart: start};
  }

  /** The engine's report; its load figures lag. */
  report(): EngineReport {
    const {memoryBytes, acceleratorCount} = this.options;
    return {
      engineStart: this.engineStart,
      memoryBytes,
      acceleratorCount,
      resident: [...this.resident.values(), ...this.draining.values()],
      ...this.laggedFigures(),
      isLeaving: this.isLeaving,
    };
  }

  /** Events of the prefix cache after a sequence number. */
  cacheEvents(afterSequence: number): CacheEvent[] {
    return this.cache.events.slice(afterSequence);
  }

  /** Loses everything, as a process that dies and starts again. */
  crash(): void {
    const lost = [
      ...this.running,
      ...this.waiting.map(({generation}) => generation),
    ];
    this.running = new Set();
    this.waiting = [];
    this.resident = new Map();
    this.loading.clear();
    this.draining.clear();
    this.generations.clear();
    this.cache = new PrefixCache(this.options.cachedPrefixes);
    this.highestFence = 0;
    this.engineStart = randomUUID();
    for (const generation of lost) generation.stop(GenerationEnd.CRASHED);
  }

  private accepts(order: EngineOrder): boolean {
    if (this.options.checksFencing && order.fence < this.highestFence) {
      return false;
    }
    this.highestFence = Math.max(this.highestFence, order.fence);
    return true;
  }

  private carryOut(order: EngineOrder): Promise<OrderOutcome> {
    return ORDER_HANDLERS[order.kind](this, order);
  }

  /** Loads weights; the memory is taken from the beginning. */
  async load(order: EngineOrder): Promise<OrderOutcome> {
    const {item, memoryBytes, baseItem} = order;
    if (this.resident.has(item)) return OrderOutcome.DONE;
    if (baseItem !== undefined && !this.resident.has(baseItem)) {
      return OrderOutcome.REFUSED;
    }
    if (baseItem !== undefined) this.baseItems.set(item, baseItem);
    const start = this.engineStart;
    this.loading.set(item, {item, memoryBytes, isDraining: false});
    this.checkMemory(order.orderId);
    await this.options.fetchWeights(item);
    await delay(this.options.loadMilliseconds);
    if (start !== this.engineStart) return OrderOutcome.REFUSED;
    this.loading.delete(item);
    this.resident.set(item, {item, memoryBytes, isDraining: false});
    return OrderOutcome.DONE;
  }

  /** Takes no new request for an item, ends those in flight, and frees it. */
  async unload(order: EngineOrder): Promise<OrderOutcome> {
    const held = this.resident.get(order.item);
    if (!held) return OrderOutcome.DONE;
    const start = this.engineStart;
    this.resident.delete(order.item);
    this.draining.set(order.item, {...held, isDraining: true});
    while (this.isRunning(order.item)) await delay(DRAIN_CHECK_MILLISECONDS);
    if (start !== this.engineStart) return OrderOutcome.DONE;
    this.draining.delete(order.item);
    return OrderOutcome.DONE;
  }

  private isRunning(item: string): boolean {
    const waiting = this.waiting.map(({generation}) => generation);
    return [...this.running, ...waiting].some(
      generation => generation.request.item === item,
    );
  }

  private checkMemory(orderId: string): void {
    const {heldBytes} = this;
    const capacityBytes = this.options.memoryBytes;
    if (heldBytes <= capacityBytes) return;
    this.overcommits.push({heldBytes, capacityBytes, orderId});
  }

  private schedule(generation: Generation): void {
    const start = () => void this.run(generation);
    if (this.running.size < this.options.concurrency) {
      start();
      return;
    }
    this.waiting.push({generation, start});
    this.waiting.sort(
      (left, right) =>
        left.generation.request.priority - right.generation.request.priority,
    );
  }

  private async run(generation: Generation): Promise<void> {
    this.running.add(generation);
    const {item, prompt} = generation.request;
    const isHit = this.cache.use(item, prompt);
    if (isHit) this.cacheHits += 1;
    const {firstTokenMilliseconds, tokenMilliseconds, concurrency} =
      this.options;
    await generation.run(
      isHit ? firstTokenMilliseconds / 4 : firstTokenMilliseconds,
      () => tokenMilliseconds * (1 + this.running.size / concurrency),
    );
    this.running.delete(generation);
    if (this.running.size < concurrency) this.waiting.shift()?.start();
  }

  private laggedFigures() {
    const now = performance.now();
    this.figures.push({
      atMilliseconds: now,
      inFlight: this.running.size,
      queued: this.waiting.length,
    });
    const horizon = now - this.options.reportLagMilliseconds;
    while (
      this.figures.length > 1 &&
      this.figures[1].atMilliseconds <= horizon
    ) {
      this.figures.shift();
    }
    const {inFlight, queued} = this.figures[0];
    return {inFlight, queued};
  }
}

type OrderHandler = (
  engine: EngineModel,
  order: EngineOrder,
) => Promise<OrderOutcome>;

const ORDER_HANDLERS: Readonly<Record<OrderKind, OrderHandler>> = {
  [OrderKind.LOAD]: (engine, order) => engine.load(order),
  [OrderKind.UNLOAD]: (engine, order) => engine.unload(order),
};

/** The engine of a test that does not care. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  memoryBytes: 80_000_000_000,
  acceleratorCount: 8,
  checksFencing: true,
  concurrency: 32,
  firstTokenMilliseconds: 20,
  tokenMilliseconds: 5,
  loadMilliseconds: 50,
  cachedPrefixes: 64,
  reportLagMilliseconds: 200,
  fetchWeights: () => Promise.resolve(),
};
