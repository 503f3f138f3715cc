import type {Result} from 'ts-results';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';

import {Err, Ok} from 'ts-results';
import {Pool} from 'undici';

import {StoreCallCounter} from './store_call_counter.js';
import {StoreError, StoreErrorKind} from './store_error.js';

/** Maximum connections to one store; each pending watch occupies one. */
const MAXIMUM_CONNECTIONS = 64;

/** Error codes that prove that no byte of the call was sent. */
const NOT_CONNECTED_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const ERROR_KIND_BY_STATUS: Readonly<Record<number, StoreErrorKind>> = {
  404: StoreErrorKind.NOT_FOUND,
  409: StoreErrorKind.CONFLICT,
  410: StoreErrorKind.HISTORY_GONE,
  412: StoreErrorKind.CONFLICT,
  429: StoreErrorKind.UNAVAILABLE,
  503: StoreErrorKind.UNAVAILABLE,
};

/** Options of a StoreHttpClient. */
export interface StoreHttpClientOptions {
  readonly url: string;
  readonly timeoutMilliseconds: number;
  /** Bearer token. */
  readonly token?: string;
  readonly counter?: StoreCallCounter;
}

/** An HTTP call with a JSON request body and a JSON response body. */
export interface StoreCall<T> {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** Name of the operation, for the call counter and error messages. */
  readonly operation: string;
  readonly schema: z.ZodType<T>;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/**
 * Makes HTTP calls to a store and classifies failures by whether the call may
 * have taken effect.
 */
export class StoreHttpClient {
  private readonly pool: Pool;
  private readonly counter: StoreCallCounter;

  constructor(private readonly options: StoreHttpClientOptions) {
    this.pool = new Pool(options.url, {
      pipelining: 1,
      connections: MAXIMUM_CONNECTIONS,
      // undici ignores the abort signal until the connection is established.
      connect: {timeout: options.timeoutMilliseconds},
    });
    this.counter = options.counter ?? new StoreCallCounter();
  }

  /** Closes the connections to the store. */
  close(): Promise<void> {
    return this.pool.destroy();
  }

  /** Makes one call. Returns every failure as a StoreError; never throws. */
  async call<T>(call: StoreCall<T>): Promise<Result<T, StoreError>> {
    this.counter.record(call.operation);
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
        return Err(toStatusError(call, response.statusCode, text));
      }
      return Ok(call.schema.parse(text === '' ? undefined : JSON.parse(text)));
    } catch (error) {
      return Err(toTransportError(call, error));
    }
  }
}

function toStatusError<T>(
  call: StoreCall<T>,
  status: number,
  text: string,
): StoreError {
  const kind = ERROR_KIND_BY_STATUS[status] ?? StoreErrorKind.OUTCOME_UNKNOWN;
  const detail = text.slice(0, 200);
  return new StoreError(
    kind,
    `${call.operation} ${call.path}: ${status} ${detail}`,
  );
}

function toTransportError<T>(call: StoreCall<T>, error: unknown): StoreError {
  const code = (error as {code?: string}).code ?? '';
  const kind =
    call.method === 'GET' || NOT_CONNECTED_ERROR_CODES.has(code)
      ? StoreErrorKind.UNAVAILABLE
      : StoreErrorKind.OUTCOME_UNKNOWN;
  return new StoreError(
    kind,
    `${call.operation} ${call.path}: ${String(error)}`,
  );
}
