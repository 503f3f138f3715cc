import type {Result} from 'ts-results';

import type {StoreError} from './store_error.js';

/** A stored object. */
export interface StoredObject {
  readonly key: string;
  /**
   * Version set by the store; increases with every write to any object, also
   * over restores of the store.
   */
  readonly version: number;
  /** JSON value of at most one megabyte when encoded. */
  readonly value: unknown;
}

/** A consistent list of all objects under a prefix. */
export interface StoredList {
  readonly objects: readonly StoredObject[];
  /** Version to watch from to miss no later change. */
  readonly version: number;
}

/** Changes returned by one watch call. */
export interface WatchBatch {
  readonly changes: readonly StoredObject[];
  readonly deletedKeys: readonly string[];
  /** Version to watch from next. */
  readonly version: number;
  /**
   * Whether a peer passed it on, so that it does not show when the store held
   * this state.
   */
  readonly isRelayed?: boolean;
}

export type StoreResult<T> = Promise<Result<T, StoreError>>;

/**
 * The platform's object API. Every method makes one call, which the platform
 * charges. A write that fails with `OUTCOME_UNKNOWN` may have taken effect, or
 * may still take effect later. A call with a version from before the store was
 * restored fails with `ERA_CHANGED`, a watch with `HISTORY_GONE`.
 */
export interface ObjectStore {
  /**
   * Lower bound of all versions of the store's current era, as known from its
   * latest answer. Lower versions are from before the store was last restored
   * from a copy. Zero for a store that is never restored.
   */
  readonly eraStartVersion: number;
  /** Fails with `NOT_FOUND` when the object does not exist. */
  get(key: string): StoreResult<StoredObject>;
  list(prefix: string): StoreResult<StoredList>;
  /** Fails with `CONFLICT` when the object already exists. */
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
   * Waits for changes under the prefix after the version (long polling);
   * returns none after a time limit, or after the given one if that is
   * shorter. Fails with `HISTORY_GONE` when the store
   * no longer has the changes after the version.
   */
  watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
    waitMilliseconds?: number,
  ): StoreResult<WatchBatch>;
}
