import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from 'ts-results';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';

import {ResponseTimeout} from '@arbutustide/event-loop';
import {Err, Ok} from 'ts-results';
import {Pool} from 'undici';

import {StoreCallCounter} from './store_call_counter.js';
import {StoreError, StoreErrorKind} from './store_error.js';

/** Maximum connections to one store; each pending watch occupies one. */
const MAXIMUM_CONNECTIONS = 64;

/** Far more than a page of a list or the changes of a watch. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Error codes that prove that no byte of the call was sent. */
const NOT_CONNECTED_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  CONNECT_TIMEOUT_CODE,
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
  /**
   * The longest that a call takes, with the time in which this process read no
   * answers. Without it, a multiple of the timeout.
   */
  readonly maximumMilliseconds?: number;
  /** Bearer token. */
  readonly token?: string;
  /**
   * Lower-case name of the response header with the store's era, an integer
   * that increases whenever the store is restored from a copy. Without it the
   * store is taken to be never restored.
   */
  readonly eraHeader?: string;
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
  /** Era that the arguments were read in; an answer of another era fails. */
  readonly expectedEra?: number;
  /** Time for which the store may hold the call open. */
  readonly holdMilliseconds?: number;
  /**
   * Time for the answer after the hold. It does not grow while this process is
   * too busy to read. The timeouts of the client apply if absent.
   */
  readonly answerMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** Body of a successful call. */
export interface StoreAnswer<T> {
  readonly value: T;
  /** Era of the store when it answered. */
  readonly era: number;
}

/**
 * Makes HTTP calls to a store and classifies failures by whether the call may
 * have taken effect.
 */
export class StoreHttpClient {
  private pool: Pool;
  /** Pools that complete their calls and get no new ones. */
  private readonly retiredPools = new Set<Pool>();
  private readonly counter: StoreCallCounter;
  private latestEra = 0;

  constructor(private readonly options: StoreHttpClientOptions) {
    this.pool = this.createPool();
    this.counter = options.counter ?? new StoreCallCounter();
  }

  /** Closes the connections to the store. */
  async close(): Promise<void> {
    const pools = [this.pool, ...this.retiredPools];
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  /** Highest era in an answer of the store so far. */
  get era(): number {
    return this.latestEra;
  }

  /** Makes one call. Returns every failure as a StoreError; never throws. */
  async call<T>(
    call: StoreCall<T>,
  ): Promise<Result<StoreAnswer<T>, StoreError>> {
    this.counter.record(call.operation);
    const responseTimeout = this.startTimeout(call);
    const deadline = responseTimeout.signal;
    const headers: Record<string, string> = {...call.headers};
    if (this.options.token) {
      headers['authorization'] = `Bearer ${this.options.token}`;
    }
    if (call.body !== undefined) headers['content-type'] = 'application/json';
    const {pool} = this;
    try {
      const response = await pool.request({
        method: call.method,
        path: call.path,
        headers,
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: call.signal
          ? AbortSignal.any([deadline, call.signal])
          : deadline,
      });
      const text = await response.body.text();
      const era = this.recordEra(response.headers);
      const expectedEra = call.expectedEra ?? this.latestEra;
      if (era !== expectedEra || era < this.latestEra) {
        return Err(toEraError(call, era, expectedEra));
      }
      if (response.statusCode >= 300) {
        return Err(toStatusError(call, response.statusCode, text));
      }
      const value = call.schema.parse(
        text === '' ? undefined : JSON.parse(text),
      );
      return Ok({value, era});
    } catch (error) {
      if (deadline.aborted) this.retire(pool);
      return Err(toTransportError(call, error, deadline.aborted));
    } finally {
      responseTimeout.close();
    }
  }

  private startTimeout({
    holdMilliseconds = 0,
    answerMilliseconds,
  }: Pick<
    StoreCall<unknown>,
    'holdMilliseconds' | 'answerMilliseconds'
  >): ResponseTimeout {
    if (answerMilliseconds !== undefined) {
      const limitMilliseconds = holdMilliseconds + answerMilliseconds;
      return new ResponseTimeout(limitMilliseconds, {
        maximumMilliseconds: limitMilliseconds,
      });
    }
    const {timeoutMilliseconds, maximumMilliseconds} = this.options;
    return new ResponseTimeout(holdMilliseconds + timeoutMilliseconds, {
      maximumMilliseconds:
        maximumMilliseconds && holdMilliseconds + maximumMilliseconds,
    });
  }

  private createPool(): Pool {
    const {url, timeoutMilliseconds} = this.options;
    return new Pool(url, {
      pipelining: 1,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
      connections: MAXIMUM_CONNECTIONS,
      // undici ignores the abort signal until the connection is established.
      connect: {timeout: timeoutMilliseconds},
    });
  }

  /**
   * Sends later calls on new connections. When one connection has gone silent,
   * others of the same age may have too.
   */
  private retire(pool: Pool): void {
    if (pool !== this.pool) return;
    this.pool = this.createPool();
    this.retiredPools.add(pool);
    void pool.close().finally(() => this.retiredPools.delete(pool));
  }

  /** Returns the era of an answer, and remembers it if it is the latest. */
  private recordEra(headers: IncomingHttpHeaders): number {
    const {eraHeader} = this.options;
    const text = eraHeader && headers[eraHeader];
    const era = typeof text === 'string' ? Number(text) : NaN;
    if (!Number.isSafeInteger(era)) return this.latestEra;
    this.latestEra = Math.max(this.latestEra, era);
    return era;
  }
}

/** Fails a call whose answer is not of the era that it was made in. */
function toEraError<T>(
  call: StoreCall<T>,
  era: number,
  expectedEra: number,
): StoreError {
  return new StoreError(
    StoreErrorKind.ERA_CHANGED,
    `${call.operation} ${call.path}: answered in era ${era}, not ${expectedEra}`,
  );
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

function toTransportError<T>(
  call: StoreCall<T>,
  error: unknown,
  hasExpired: boolean,
): StoreError {
  const code = (error as {code?: string}).code ?? '';
  const kind =
    call.method === 'GET' || NOT_CONNECTED_ERROR_CODES.has(code)
      ? StoreErrorKind.UNAVAILABLE
      : StoreErrorKind.OUTCOME_UNKNOWN;
  return new StoreError(
    kind,
    `${call.operation} ${call.path}: ${String(error)}`,
    hasExpired || code === CONNECT_TIMEOUT_CODE,
  );
}
