import type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreResult,
  WatchBatch,
} from '@arbutustide/object-store';
import type {ObjectTable} from '@arbutustide/stand-ins';
import type {Result} from 'ts-results';

import type {SimulatedNetwork} from './simulated_network.js';
import type {SimulatedProcess} from './simulated_process.js';

import {HEAD_KEY} from '@arbutustide/catalogue';
import {CLAIM_KEY_PREFIX} from '@arbutustide/claims';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {WORKER_PREFIX, workerRecordSchema} from '@arbutustide/placement';
import {Err, Ok} from 'ts-results';

import {Step} from './fault.js';
import {NetworkCallFailure, STORE_ENDPOINT_NAME} from './simulated_network.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_DURATION_MILLISECONDS = 5_000;

/** A call to the stored objects, without the network. */
type ObjectTableCall<T> = () => Result<T, StoreError>;

/** Object API client of a simulated process. */
export class SimulatedStore implements ObjectStore {
  readonly eraStartVersion = 0;

  constructor(
    private readonly objectTable: ObjectTable,
    private readonly network: SimulatedNetwork,
    private readonly process: SimulatedProcess,
  ) {}

  get(key: string): StoreResult<StoredObject> {
    const step = key === HEAD_KEY ? Step.READ_HEAD : undefined;
    return this.callForRead(
      () => this.objectTable.get(key),
      step,
      () => this.readPreviousObject(key),
    );
  }

  list(prefix: string): StoreResult<StoredList> {
    return this.callForRead(() => this.objectTable.list(prefix), undefined);
  }

  create(key: string, value: unknown): StoreResult<StoredObject> {
    return this.callForWrite(
      () => this.objectTable.create(key, value),
      this.stepOfWrite(key, value, true),
    );
  }

  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject> {
    return this.callForWrite(
      () => this.objectTable.update(key, value, version),
      this.stepOfWrite(key, value, false),
    );
  }

  delete(key: string, version: number): StoreResult<void> {
    return this.callForWrite(
      () => this.objectTable.delete(key, version),
      key.startsWith(CLAIM_KEY_PREFIX) ? Step.OUTCOME : undefined,
    );
  }

  async watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
  ): StoreResult<WatchBatch> {
    const result = await this.network.call({
      from: this.process,
      to: STORE_ENDPOINT_NAME,
      step: prefix === HEAD_KEY ? Step.WATCH : undefined,
      timeoutMilliseconds:
        WATCH_DURATION_MILLISECONDS + CALL_TIMEOUT_MILLISECONDS,
      isUp: () => true,
      effect: () =>
        this.objectTable.watch(
          prefix,
          afterVersion,
          WATCH_DURATION_MILLISECONDS,
          signal,
        ),
      staleEffect: () =>
        this.readPreviousObject(prefix).map(object => ({
          changes: [object],
          deletedKeys: [],
          version: afterVersion,
        })),
    });
    return result.ok ? result.val : Err(createReadError(result.val));
  }

  private async callForRead<T>(
    executeCall: ObjectTableCall<T>,
    step: Step | undefined,
    executeStaleRead?: ObjectTableCall<T>,
  ): StoreResult<T> {
    const result = await this.callStore(executeCall, step, executeStaleRead);
    return result.ok ? result.val : Err(createReadError(result.val));
  }

  private async callForWrite<T>(
    executeCall: ObjectTableCall<T>,
    step: Step | undefined,
  ): StoreResult<T> {
    const result = await this.callStore(executeCall, step);
    return result.ok ? result.val : Err(createWriteError(result.val));
  }

  /** Returns the object as it was before its last write, for a stale read. */
  private readPreviousObject(key: string): Result<StoredObject, StoreError> {
    const writes = this.objectTable.writes.filter(write => write.key === key);
    const previous = writes.at(-2);
    return previous ? Ok(previous) : this.objectTable.get(key);
  }

  private callStore<T>(
    executeCall: ObjectTableCall<T>,
    step: Step | undefined,
    executeStaleRead?: ObjectTableCall<T>,
  ) {
    return this.network.call({
      from: this.process,
      to: STORE_ENDPOINT_NAME,
      step,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      isUp: () => true,
      effect: executeCall,
      ...(executeStaleRead && {staleEffect: executeStaleRead}),
    });
  }

  private stepOfWrite(
    key: string,
    value: unknown,
    isCreation: boolean,
  ): Step | undefined {
    if (key === HEAD_KEY) return Step.WRITE_HEAD;
    if (key.startsWith('catalogue/')) return Step.WRITE_CONTENT;
    if (key.startsWith('planner/lease/')) return Step.LEASE;
    if (key.startsWith(CLAIM_KEY_PREFIX)) {
      return isCreation ? Step.CLAIM : Step.OUTCOME;
    }
    if (key.startsWith(WORKER_PREFIX))
      return this.stepOfWorkerRecordWrite(key, value);
    return undefined;
  }

  /**
   * Returns `INTENT` for a write that adds an intent, else `SETTLE` for one that
   * removes an intent.
   */
  private stepOfWorkerRecordWrite(
    key: string,
    value: unknown,
  ): Step | undefined {
    const nextIntents = workerRecordSchema.parse(value).intents;
    const stored = this.objectTable.get(key);
    const storedIntents = stored.ok
      ? workerRecordSchema.parse(stored.val.value).intents
      : [];
    const storedIds = new Set(storedIntents.map(({orderId}) => orderId));
    if (nextIntents.some(({orderId}) => !storedIds.has(orderId)))
      return Step.INTENT;
    return nextIntents.length < storedIntents.length ? Step.SETTLE : undefined;
  }
}

function createReadError(failure: NetworkCallFailure): StoreError {
  return new StoreError(StoreErrorKind.UNAVAILABLE, failure);
}

function createWriteError(failure: NetworkCallFailure): StoreError {
  const kind =
    failure === NetworkCallFailure.NOT_CONNECTED
      ? StoreErrorKind.UNAVAILABLE
      : StoreErrorKind.OUTCOME_UNKNOWN;
  return new StoreError(kind, failure);
}
