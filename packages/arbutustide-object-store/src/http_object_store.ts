import type {Result} from 'ts-results';
import type {Dispatcher} from 'undici';

import type {
  ObjectStore,
  StoredObject,
  StoreResult,
  WatchBatch,
} from './object_store.js';

import {Err, Ok} from 'ts-results';
import {Pool} from 'undici';
import {z} from 'zod';

import {StoreCallCounter} from './store_call_counter.js';
import {StoreError, StoreErrorKind} from './store_error.js';

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

const listSchema = z.object({objects: z.array(storedObjectSchema)});

const watchSchema = z.object({
  changes: z.array(storedObjectSchema),
  deletedKeys: z.array(z.string()),
  version: z.number().int(),
});

/** Error codes that prove that no byte of the call was sent. */
const NEVER_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const KIND_BY_STATUS: Readonly<Record<number, StoreErrorKind>> = {
  404: StoreErrorKind.NOT_FOUND,
  409: StoreErrorKind.CONFLICT,
  412: StoreErrorKind.CONFLICT,
  429: StoreErrorKind.UNAVAILABLE,
  503: StoreErrorKind.UNAVAILABLE,
};

/** How to reach the object API. */
export interface HttpObjectStoreOptions {
  readonly url: string;
  readonly timeoutMilliseconds: number;
  /** How long the store may hold a watch open before it answers empty. */
  readonly watchMilliseconds: number;
  readonly token?: string;
  readonly counter?: StoreCallCounter;
}

interface Call<T> {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly name: string;
  readonly schema: z.ZodType<T>;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** The object API over HTTP; the protocol is in docs/INTERFACES.md. */
export class HttpObjectStore implements ObjectStore {
  private readonly pool: Pool;
  private readonly counter: StoreCallCounter;

  constructor(private readonly options: HttpObjectStoreOptions) {
    this.pool = new Pool(options.url, {pipelining: 1, connections: 64});
    this.counter = options.counter ?? new StoreCallCounter();
  }

  get(key: string): StoreResult<StoredObject> {
    return this.call({
      method: 'GET',
      path: objectPath(key),
      name: 'get',
      schema: storedObjectSchema,
    });
  }

  async list(prefix: string): StoreResult<readonly StoredObject[]> {
    const listed = await this.call({
      method: 'GET',
      path: `/objects?prefix=${encodeURIComponent(prefix)}`,
      name: 'list',
      schema: listSchema,
    });
    return listed.map(({objects}) => objects);
  }

  create(key: string, value: unknown): StoreResult<StoredObject> {
    return this.call({
      method: 'PUT',
      path: objectPath(key),
      name: 'create',
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
    return this.call({
      method: 'PUT',
      path: objectPath(key),
      name: 'update',
      schema: storedObjectSchema,
      headers: {'if-match': String(version)},
      body: value,
    });
  }

  async delete(key: string, version: number): StoreResult<void> {
    const deleted = await this.call({
      method: 'DELETE',
      path: objectPath(key),
      name: 'delete',
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
    const {watchMilliseconds, timeoutMilliseconds} = this.options;
    const query = new URLSearchParams({
      prefix,
      after: String(afterVersion),
      wait_milliseconds: String(watchMilliseconds),
    });
    return this.call({
      method: 'GET',
      path: `/watch?${query}`,
      name: 'watch',
      schema: watchSchema,
      timeoutMilliseconds: watchMilliseconds + timeoutMilliseconds,
      signal,
    });
  }

  /** Closes the connections to the store. */
  close(): Promise<void> {
    return this.pool.destroy();
  }

  private async call<T>(call: Call<T>): Promise<Result<T, StoreError>> {
    this.counter.record(call.name);
    const timeout =
      call.timeoutMilliseconds ?? this.options.timeoutMilliseconds;
    const deadline = AbortSignal.timeout(timeout);
    const headers: Record<string, string> = {...call.headers};
    if (this.options.token) {
      headers['authorization'] = `Bearer ${this.options.token}`;
    }
    if (call.body !== undefined) headers['content-type'] = 'application/json';
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        headers,
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: call.signal
          ? AbortSignal.any([deadline, call.signal])
          : deadline,
      });
      const text = await response.body.text();
      if (response.statusCode >= 300) {
        return Err(statusError(call, response.statusCode, text));
      }
      return Ok(call.schema.parse(text === '' ? undefined : JSON.parse(text)));
    } catch (error) {
      return Err(transportError(call, error));
    }
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function statusError<T>(
  call: Call<T>,
  status: number,
  text: string,
): StoreError {
  const kind = KIND_BY_STATUS[status] ?? StoreErrorKind.OUTCOME_UNKNOWN;
  const detail = text.slice(0, 200);
  return new StoreError(kind, `${call.name} ${call.path}: ${status} ${detail}`);
}

function transportError<T>(call: Call<T>, error: unknown): StoreError {
  const code = (error as {code?: string}).code ?? '';
  const kind =
    call.method === 'GET' || NEVER_CONNECTED_CODES.has(code)
      ? StoreErrorKind.UNAVAILABLE
      : StoreErrorKind.OUTCOME_UNKNOWN;
  return new StoreError(kind, `${call.name} ${call.path}: ${String(error)}`);
}
