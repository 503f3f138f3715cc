import type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreResult,
  WatchBatch,
} from '@arbutustide/object-store';
import type {ObjectTable} from '@arbutustide/stand-ins';
import type {Result} from 'ts-results';

import type {Network} from './network.js';
import type {SimulatedProcess} from './simulated_process.js';

import {HEAD_KEY} from '@arbutustide/catalogue';
import {CLAIM_PREFIX} from '@arbutustide/claims';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {WORKER_PREFIX, workerRecordSchema} from '@arbutustide/placement';
import {Err, Ok} from 'ts-results';

import {Step} from './fault.js';
import {CallFailure, STORE} from './network.js';

const TIMEOUT_MILLISECONDS = 2_000;
const WATCH_MILLISECONDS = 5_000;

type TableCall<T> = () => Result<T, StoreError>;

/** The object API as one process reaches it. */
export class SimulatedStore implements ObjectStore {
  constructor(
    private readonly table: ObjectTable,
    private readonly network: Network,
    private readonly process: SimulatedProcess,
  ) {}

  get(key: string): StoreResult<StoredObject> {
    const step = key === HEAD_KEY ? Step.READ_HEAD : undefined;
    return this.read(
      () => this.table.get(key),
      step,
      () => this.staleObject(key),
    );
  }

  list(prefix: string): StoreResult<StoredList> {
    return this.read(() => this.table.list(prefix), undefined);
  }

  create(key: string, value: unknown): StoreResult<StoredObject> {
    return this.write(
      () => this.table.create(key, value),
      this.writeStep(key, value, true),
    );
  }

  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject> {
    return this.write(
      () => this.table.update(key, value, version),
      this.writeStep(key, value, false),
    );
  }

  delete(key: string, version: number): StoreResult<void> {
    return this.write(
      () => this.table.delete(key, version),
      key.startsWith(CLAIM_PREFIX) ? Step.OUTCOME : undefined,
    );
  }

  async watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
  ): StoreResult<WatchBatch> {
    const answer = await this.network.call({
      from: this.process,
      to: STORE,
      step: prefix === HEAD_KEY ? Step.WATCH : undefined,
      timeoutMilliseconds: WATCH_MILLISECONDS + TIMEOUT_MILLISECONDS,
      isUp: () => true,
      effect: () =>
        this.table.watch(prefix, afterVersion, WATCH_MILLISECONDS, signal),
      staleEffect: () =>
        this.staleObject(prefix).map(object => ({
          changes: [object],
          deletedKeys: [],
          version: afterVersion,
        })),
    });
    return answer.ok ? answer.val : Err(readError(answer.val));
  }

  private async read<T>(
    run: TableCall<T>,
    step: Step | undefined,
    runStale?: TableCall<T>,
  ): StoreResult<T> {
    const answer = await this.call(run, step, runStale);
    return answer.ok ? answer.val : Err(readError(answer.val));
  }

  private async write<T>(
    run: TableCall<T>,
    step: Step | undefined,
  ): StoreResult<T> {
    const answer = await this.call(run, step);
    return answer.ok ? answer.val : Err(writeError(answer.val));
  }

  /** What an object held before its last write. */
  private staleObject(key: string): Result<StoredObject, StoreError> {
    const writes = this.table.writes.filter(write => write.key === key);
    const before = writes.at(-2);
    return before ? Ok(before) : this.table.get(key);
  }

  private call<T>(
    run: TableCall<T>,
    step: Step | undefined,
    runStale?: TableCall<T>,
  ) {
    return this.network.call({
      from: this.process,
      to: STORE,
      step,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      isUp: () => true,
      effect: run,
      ...(runStale && {staleEffect: runStale}),
    });
  }

  private writeStep(
    key: string,
    value: unknown,
    isCreation: boolean,
  ): Step | undefined {
    if (key === HEAD_KEY) return Step.WRITE_HEAD;
    if (key.startsWith('catalogue/')) return Step.WRITE_CONTENT;
    if (key.startsWith('planner/lease/')) return Step.LEASE;
    if (key.startsWith(CLAIM_PREFIX)) {
      return isCreation ? Step.CLAIM : Step.OUTCOME;
    }
    if (key.startsWith(WORKER_PREFIX)) return this.workerStep(key, value);
    return undefined;
  }

  /** A record with more intents than before plans; one with fewer settles. */
  private workerStep(key: string, value: unknown): Step | undefined {
    const next = workerRecordSchema.parse(value).intents;
    const stored = this.table.get(key);
    const before = stored.ok
      ? workerRecordSchema.parse(stored.val.value).intents
      : [];
    const known = new Set(before.map(({orderId}) => orderId));
    if (next.some(({orderId}) => !known.has(orderId))) return Step.INTENT;
    return next.length < before.length ? Step.SETTLE : undefined;
  }
}

function readError(failure: CallFailure): StoreError {
  return new StoreError(StoreErrorKind.UNAVAILABLE, failure);
}

function writeError(failure: CallFailure): StoreError {
  const kind =
    failure === CallFailure.NOT_CONNECTED
      ? StoreErrorKind.UNAVAILABLE
      : StoreErrorKind.OUTCOME_UNKNOWN;
  return new StoreError(kind, failure);
}
