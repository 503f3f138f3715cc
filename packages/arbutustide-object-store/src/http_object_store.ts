import type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreResult,
  WatchBatch,
} from './object_store.js';
import type {StoreCall, StoreHttpClientOptions} from './store_http_client.js';

import {z} from 'zod';

import {StoreHttpClient} from './store_http_client.js';

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

const listSchema = z.object({
  objects: z.array(storedObjectSchema),
  version: z.number().int(),
});

const watchSchema = z.object({
  changes: z.array(storedObjectSchema),
  deletedKeys: z.array(z.string()),
  version: z.number().int(),
});

/** Options of an HttpObjectStore. */
export interface HttpObjectStoreOptions extends StoreHttpClientOptions {
  /** Time after which the store answers a watch without changes. */
  readonly watchMilliseconds: number;
}

/** Client of the object API; docs/INTERFACES.md describes the protocol. */
export class HttpObjectStore implements ObjectStore {
  /** The project's object API is never restored from a copy. */
  readonly eraStartVersion = 0;
  private readonly client: StoreHttpClient;

  constructor(private readonly options: HttpObjectStoreOptions) {
    this.client = new StoreHttpClient(options);
  }

  get(key: string): StoreResult<StoredObject> {
    return this.callForValue({
      method: 'GET',
      path: objectPath(key),
      operation: 'get',
      schema: storedObjectSchema,
    });
  }

  list(prefix: string): StoreResult<StoredList> {
    return this.callForValue({
      method: 'GET',
      path: `/objects?prefix=${encodeURIComponent(prefix)}`,
      operation: 'list',
      schema: listSchema,
    });
  }

  create(key: string, value: unknown): StoreResult<StoredObject> {
    return this.callForValue({
      method: 'PUT',
      path: objectPath(key),
      operation: 'create',
      schema: storedObjectSchema,
      headers: {'if-none-match': '*'},
      body: value,
    });
  }

  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject> {
    return this.callForValue({
      method: 'PUT',
      path: objectPath(key),
      operation: 'update',
      schema: storedObjectSchema,
      headers: {'if-match': String(version)},
      body: value,
    });
  }

  async delete(key: string, version: number): StoreResult<void> {
    const deleted = await this.callForValue({
      method: 'DELETE',
      path: objectPath(key),
      operation: 'delete',
      schema: z.unknown(),
      headers: {'if-match': String(version)},
    });
    return deleted.map(() => undefined);
  }

  watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
  ): StoreResult<WatchBatch> {
    const {watchMilliseconds} = this.options;
    const query = new URLSearchParams({
      prefix,
      after: String(afterVersion),
      wait_milliseconds: String(watchMilliseconds),
    });
    return this.callForValue({
      method: 'GET',
      path: `/watch?${query}`,
      operation: 'watch',
      schema: watchSchema,
      holdMilliseconds: watchMilliseconds,
      signal,
    });
  }

  private async callForValue<T>(call: StoreCall<T>): StoreResult<T> {
    const answer = await this.client.call(call);
    return answer.map(({value}) => value);
  }

  /** Closes the connections to the store. */
  close(): Promise<void> {
    return this.client.close();
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}
