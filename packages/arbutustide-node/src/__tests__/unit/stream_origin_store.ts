import type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreResult,
} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {
  ArchivedOrigins,
  ServiceVersions,
  StreamOriginStorage,
} from '../../proxy/stream_origin/stream_origin_storage.js';

import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

const LATENCY_MILLISECONDS = 4;

/** Keeps values as they are; `undefined` stands for an undecodable object. */
export const TEST_STORAGE: StreamOriginStorage = {
  historyPrefix: 'history/',
  encodeHistory: history => history,
  decodeHistory: value => decode<ServiceVersions>(value),
  archivePrefix: 'archive/',
  encodeArchive: groups => groups,
  decodeArchive: value => decode<ArchivedOrigins[]>(value),
};

/** An object store of all nodes in memory, with the latency of a real one. */
export class OriginStore {
  readonly objects = new Map<string, StoredObject>();
  isDown = false;
  latencyMilliseconds = LATENCY_MILLISECONDS;
  writes = 0;
  reads = 0;
  writtenBytes = 0;
  private version = 0;

  /** The store as one process reaches it, until that process has ended. */
  connect(isAlive: () => boolean): ObjectStore {
    const call = async <T>(
      apply: () => Result<T, StoreError>,
    ): Promise<Result<T, StoreError>> => {
      if (!isAlive()) return never();
      await pause(this.latencyMilliseconds / 2);
      const result = this.isDown ? fail(StoreErrorKind.UNAVAILABLE) : apply();
      await pause(this.latencyMilliseconds / 2);
      return isAlive() ? result : never();
    };
    return {
      eraStartVersion: 0,
      get: key => call(() => this.get(key)),
      list: prefix => call(() => this.list(prefix)),
      create: (key, value) => call(() => this.write(key, value, undefined)),
      update: (key, value, version) =>
        call(() => this.write(key, value, version)),
      delete: unsupported,
      watch: unsupported,
    };
  }

  /** Sizes of all objects under a prefix, in bytes. */
  sizes(prefix: string): number[] {
    return [...this.objects.values()]
      .filter(({key}) => key.startsWith(prefix))
      .map(({value}) => sizeOf(value));
  }

  private get(key: string): Result<StoredObject, StoreError> {
    this.reads += 1;
    const object = this.objects.get(key);
    return object ? Ok(object) : fail(StoreErrorKind.NOT_FOUND);
  }

  private list(prefix: string): Result<StoredList, StoreError> {
    this.reads += 1;
    const objects = [...this.objects.values()].filter(({key}) =>
      key.startsWith(prefix),
    );
    return Ok({objects, version: this.version});
  }

  private write(
    key: string,
    value: unknown,
    version: number | undefined,
  ): Result<StoredObject, StoreError> {
    this.writes += 1;
    this.writtenBytes += sizeOf(value);
    if (this.objects.get(key)?.version !== version)
      return fail(StoreErrorKind.CONFLICT);
    this.version += 1;
    const object = {key, value, version: this.version};
    this.objects.set(key, object);
    return Ok(object);
  }
}

function decode<T>(value: unknown): Result<T, Error> {
  return value === undefined ? Err(new Error('undecodable')) : Ok(value as T);
}

function sizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value) ?? '');
}

function fail(kind: StoreErrorKind): Err<StoreError> {
  return Err(new StoreError(kind, kind));
}

function never<T>(): Promise<T> {
  return new Promise(() => {});
}

function unsupported(): StoreResult<never> {
  throw new Error('the origins of streams do not use this call');
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
