import type {ObjectStore, StoreError} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {WorkerRecord} from './worker_record.js';

import {randomUUID} from 'node:crypto';

import {StoreErrorKind, writeAndConfirm} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {WORKER_PREFIX, workerKey, workerRecordSchema} from './worker_record.js';

/** A worker's record with its version in the object store. */
export interface StoredWorker {
  readonly record: WorkerRecord;
  /** Undefined for a record that has not been written yet. */
  readonly version: number | undefined;
}

/** Reads and writes worker records through the platform's object API. */
export class LedgerStore {
  constructor(private readonly store: ObjectStore) {}

  /** Reads all worker records of the store. */
  async readAll(): Promise<Result<StoredWorker[], StoreError>> {
    const listing = await this.store.list(WORKER_PREFIX);
    return listing.map(({objects}) =>
      objects.map(({value, version}) => ({
        record: workerRecordSchema.parse(value),
        version,
      })),
    );
  }

  /** Reads one worker's record; undefined if there is none. */
  async read(
    upstreamId: string,
  ): Promise<Result<StoredWorker | undefined, StoreError>> {
    const stored = await this.store.get(workerKey(upstreamId));
    if (stored.ok) {
      const {value, version} = stored.val;
      return Ok({record: workerRecordSchema.parse(value), version});
    }
    if (stored.val.kind !== StoreErrorKind.NOT_FOUND) return Err(stored.val);
    return Ok(undefined);
  }

  /** Writes a record if its version in the store is still the given one. */
  async write(
    record: WorkerRecord,
    version: number | undefined,
  ): Promise<Result<StoredWorker, StoreError>> {
    const written = {...record, writeId: randomUUID()};
    const stored = await writeAndConfirm(
      this.store,
      workerKey(record.upstreamId),
      written,
      version,
      value => workerRecordSchema.parse(value).writeId === written.writeId,
    );
    return stored.map(object => ({record: written, version: object.version}));
  }

  /** Deletes the record of a removed worker. */
  async remove(worker: StoredWorker): Promise<void> {
    if (worker.version === undefined) return;
    await this.store.delete(
      workerKey(worker.record.upstreamId),
      worker.version,
    );
  }
}
