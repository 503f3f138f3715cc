import type {
  StoredList,
  StoredObject,
  WatchBatch,
} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import {delay} from '@arbutustide/errors';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

/** One write, in the order in which the table applied it. */
export interface RecordedWrite {
  readonly key: string;
  readonly version: number;
  /** Undefined for a deletion. */
  readonly value: unknown;
}

type StoreResult<T> = Result<T, StoreError>;

/**
 * In-memory content of the object API: versioned objects with compare-and-swap
 * writes, watches, and a record of every write for tests.
 */
export class ObjectTable {
  readonly writes: RecordedWrite[] = [];
  private readonly objects = new Map<string, StoredObject>();
  private readonly deletions: RecordedWrite[] = [];
  private lastVersion = 0;
  private changeNotifier = new AbortController();

  /** Reads one object; fails with `NOT_FOUND` if it does not exist. */
  get(key: string): StoreResult<StoredObject> {
    const object = this.objects.get(key);
    return object
      ? Ok(object)
      : Err(new StoreError(StoreErrorKind.NOT_FOUND, `${key} does not exist`));
  }

  /** Reads all objects whose key starts with a prefix. */
  list(prefix: string): StoreResult<StoredList> {
    const objects = [...this.objects.values()].filter(object =>
      object.key.startsWith(prefix),
    );
    return Ok({objects, version: this.lastVersion});
  }

  /** Creates an object; fails with `CONFLICT` if the key exists. */
  create(key: string, value: unknown): StoreResult<StoredObject> {
    if (this.objects.has(key)) return createConflict(`${key} exists`);
    return Ok(this.writeObject(key, value));
  }

  /** Replaces an object; fails with `CONFLICT` unless the version matches. */
  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject> {
    const current = this.objects.get(key);
    if (current?.version !== version) {
      return createConflict(
        `${key} is at version ${current?.version ?? 'none'}`,
      );
    }
    return Ok(this.writeObject(key, value));
  }

  /** Deletes an object; fails with `CONFLICT` unless the version matches. */
  delete(key: string, version: number): StoreResult<void> {
    const current = this.objects.get(key);
    if (current?.version !== version) {
      return createConflict(
        `${key} is at version ${current?.version ?? 'none'}`,
      );
    }
    this.objects.delete(key);
    this.lastVersion += 1;
    const deletion = {key, version: this.lastVersion, value: undefined};
    this.deletions.push(deletion);
    this.recordWrite(deletion);
    return Ok(undefined);
  }

  /**
   * Long poll: returns the changes under a prefix after a version, or an empty
   * batch once the wait has passed or the signal is aborted.
   */
  async watch(
    prefix: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<StoreResult<WatchBatch>> {
    const deadlineMilliseconds = performance.now() + waitMilliseconds;
    for (;;) {
      const batch = this.collectChangesAfter(prefix, afterVersion);
      const remainingMilliseconds = deadlineMilliseconds - performance.now();
      const hasChanges = batch.changes.length + batch.deletedKeys.length > 0;
      if (hasChanges || remainingMilliseconds <= 0 || signal.aborted)
        return Ok(batch);
      const changeSignal = this.changeNotifier.signal;
      await delay(
        remainingMilliseconds,
        AbortSignal.any([changeSignal, signal]),
      );
    }
  }

  private collectChangesAfter(
    prefix: string,
    afterVersion: number,
  ): WatchBatch {
    const isNewer = ({key, version}: {key: string; version: number}) =>
      version > afterVersion && key.startsWith(prefix);
    return {
      changes: [...this.objects.values()].filter(isNewer),
      deletedKeys: this.deletions.filter(isNewer).map(({key}) => key),
      version: this.lastVersion,
    };
  }

  private writeObject(key: string, value: unknown): StoredObject {
    this.lastVersion += 1;
    const object = {key, version: this.lastVersion, value};
    this.objects.set(key, object);
    this.recordWrite(object);
    return object;
  }

  private recordWrite(write: RecordedWrite): void {
    this.writes.push(write);
    const notifier = this.changeNotifier;
    this.changeNotifier = new AbortController();
    notifier.abort();
  }
}

function createConflict(message: string): StoreResult<never> {
  return Err(new StoreError(StoreErrorKind.CONFLICT, message));
}
