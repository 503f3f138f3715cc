import type {Result} from 'ts-results';

import type {StoreError} from './store_error.js';

/** An object as the platform keeps it. */
export interface StoredObject {
  readonly key: string;
  /** Version given by the store; it grows with every write to any object. */
  readonly version: number;
  /** JSON value, at most one megabyte when encoded. */
  readonly value: unknown;
}

/** All objects under a prefix at one moment. */
export interface StoredList {
  readonly objects: readonly StoredObject[];
  /** Version to watch from, so that no later change is missed. */
  readonly version: number;
}

/** A change seen by a watch. */
export interface WatchBatch {
  readonly changes: readonly StoredObject[];
  readonly deletedKeys: readonly string[];
  /** Version to continue the watch from. */
  readonly version: number;
}

export type StoreResult<T> = Promise<Result<T, StoreError>>;

/**
 * The platform's object API. Every method is one counted call. A write that
 * fails with `OUTCOME_UNKNOWN` may or may not have taken effect, now or later.
 */
export interface ObjectStore {
  get(key: string): StoreResult<StoredObject>;
  list(prefix: string): StoreResult<StoredList>;
  /** Fails with `CONFLICT` when the object exists. */
  create(key: string, value: unknown): StoreResult<StoredObject>;
  /** Fails with `CONFLICT` unless the object has exactly this version. */
  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject>;
  /** Fails with `CONFLICT` unless the object has exactly this version. */
  delete(key: string, version: number): StoreResult<void>;
  /**
   * Waits until something under the prefix is newer than the version. Fails
   * with `HISTORY_GONE` when the store no longer knows what came after it.
   */
  watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
  ): StoreResult<WatchBatch>;
}
