import type {
  StoredList,
  StoredObject,
  WatchBatch,
} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import {delay} from '@arbutustide/errors';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

/** One write as the table saw it. */
export interface RecordedWrite {
  readonly key: string;
  readonly version: number;
  /** Undefined for a deletion. */
  readonly value: unknown;
}

type TableResult<T> = Result<T, StoreError>;

/** The object API's content, with a record of every write. */
export class ObjectTable {
  readonly writes: RecordedWrite[] = [];
  private readonly objects = new Map<string, StoredObject>();
  private readonly deletions: RecordedWrite[] = [];
  private lastVersion = 0;
  private wakeWatchers = new AbortController();

  /** Reads one object. */
  get(key: string): TableResult<StoredObject> {
    const object = this.objects.get(key);
    return object
      ? Ok(object)
      : Err(new StoreError(StoreErrorKind.NOT_FOUND, `${key} does not exist`));
  }

  /** Reads all objects under a prefix. */
  list(prefix: string): TableResult<StoredList> {
    const objects = [...this.objects.values()].filter(object =>
      object.key.startsWith(prefix),
    );
    return Ok({objects, version: this.lastVersion});
  }

  /** Creates an object. */
  create(key: string, value: unknown): TableResult<StoredObject> {
    if (this.objects.has(key)) return conflict(`${key} exists`);
    return Ok(this.write(key, value));
  }

  /** Replaces an object of a known version. */
  update(
    key: string,
    value: unknown,
    version: number,
  ): TableResult<StoredObject> {
    const current = this.objects.get(key);
    if (current?.version !== version) {
      return conflict(`${key} is at version ${current?.version ?? 'none'}`);
    }
    return Ok(this.write(key, value));
  }

  /** Deletes an object of a known version. */
  delete(key: string, version: number): TableResult<void> {
    const current = this.objects.get(key);
    if (current?.version !== version) {
      return conflict(`${key} is at version ${current?.version ?? 'none'}`);
    }
    this.objects.delete(key);
    this.lastVersion += 1;
    const deletion = {key, version: this.lastVersion, value: undefined};
    this.deletions.push(deletion);
    this.record(deletion);
    return Ok(undefined);
  }

  /** Waits for something newer than a version, or for the time to pass. */
  async watch(
    prefix: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<TableResult<WatchBatch>> {
    const end = performance.now() + waitMilliseconds;
    for (;;) {
      const batch = this.changesAfter(prefix, afterVersion);
      const left = end - performance.now();
      const hasNews = batch.changes.length + batch.deletedKeys.length > 0;
      if (hasNews || left <= 0 || signal.aborted) return Ok(batch);
      const woken = this.wakeWatchers.signal;
      await delay(left, AbortSignal.any([woken, signal]));
    }
  }

  private changesAfter(prefix: string, afterVersion: number): WatchBatch {
    const isNews = ({key, version}: {key: string; version: number}) =>
      version > afterVersion && key.startsWith(prefix);
    return {
      changes: [...this.objects.values()].filter(isNews),
      deletedKeys: this.deletions.filter(isNews).map(({key}) => key),
      version: this.lastVersion,
    };
  }

  private write(key: string, value: unknown): StoredObject {
    this.lastVersion += 1;
    const object = {key, version: this.lastVersion, value};
    this.objects.set(key, object);
    this.record(object);
    return object;
  }

  private record(write: RecordedWrite): void {
    this.writes.push(write);
    const woken = this.wakeWatchers;
    this.wakeWatchers = new AbortController();
    woken.abort();
  }
}

function conflict(message: string): TableResult<never> {
  return Err(new StoreError(StoreErrorKind.CONFLICT, message));
}
