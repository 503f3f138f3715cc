import type {Result} from 'ts-results';
import type {Client, Dispatcher} from 'undici';

import type {AnswerBody, AttemptRequest, UpstreamAnswer} from './attempt.js';
import type {ConnectionHolder} from './upstream_connection.js';

import {Err, Ok} from 'ts-results';
import {Pool} from 'undici';
import type {z} from 'zod';

import {discardIfInvalid, INVALID_STATUS_CODE} from './answer_status.js';
import {AttemptError, AttemptFailure} from './attempt_error.js';
import {
  createConnectionHolder,
  isSelfDelimiting,
  UpstreamConnection,
} from './upstream_connection.js';

/** Largest answer to a short call, whose body is kept as a whole. */
const MAXIMUM_JSON_BYTES = 16 * 1_024 * 1_024;
/** No bound, for undici: answers to callers' requests are passed on as they come. */
const UNLIMITED = -1;

/** Header with the id of the attempt that an answer belongs to. */
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
/** Header that an upstream sends while it accepts no new requests. */
export const UPSTREAM_LEAVING_HEADER = 'x-upstream-leaving';

/** Time for which an idle connection is kept for reuse. */
const KEEP_ALIVE_MILLISECONDS = 4_000;

const FAILURE_BY_CODE: Readonly<Record<string, AttemptFailure>> = {
  ECONNREFUSED: AttemptFailure.NOT_CONNECTED,
  EHOSTUNREACH: AttemptFailure.NOT_CONNECTED,
  ENETUNREACH: AttemptFailure.NOT_CONNECTED,
  UND_ERR_CONNECT_TIMEOUT: AttemptFailure.NOT_CONNECTED,
  UND_ERR_HEADERS_TIMEOUT: AttemptFailure.INACTIVITY_TIMEOUT,
  UND_ERR_BODY_TIMEOUT: AttemptFailure.INACTIVITY_TIMEOUT,
  UND_ERR_ABORTED: AttemptFailure.CANCELLED,
  ABORT_ERR: AttemptFailure.CANCELLED,
  [INVALID_STATUS_CODE]: AttemptFailure.PROTOCOL_VIOLATION,
};

/** Options of the connections to one upstream. */
export interface UpstreamConnectionOptions {
  readonly url: string;
  /** Whether an answer without the id of its attempt is no answer. */
  readonly requiresAttemptId?: boolean;
  readonly maximumConnections: number;
  readonly connectTimeoutMilliseconds: number;
  /** Default time limit of short JSON calls, such as reports. */
  readonly callTimeoutMilliseconds: number;
}

/** A short call with a JSON answer. */
export interface JsonCall<T> {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly schema: z.ZodType<T>;
  readonly body?: unknown;
  readonly timeoutMilliseconds?: number;
}

/** The HTTP connections to one upstream. */
export class UpstreamConnectionPool {
  private pool: Pool;

  constructor(private readonly options: UpstreamConnectionOptions) {
    this.pool = this.createPool();
  }

  /**
   * Replaces the connections: requests in flight finish on the old connections,
   * later requests use new ones.
   */
  replaceConnections(): void {
    const old = this.pool;
    this.pool = this.createPool();
    void old.close();
  }

  /** Closes all connections immediately, also those with requests in flight. */
  close(): Promise<void> {
    return this.pool.destroy();
  }

  /** Sends an attempt and waits for the head of its answer. */
  async sendAttempt(
    request: AttemptRequest,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<UpstreamAnswer, AttemptError>> {
    const {sendCheck} = request;
    const send = () =>
      this.pool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: createAttemptHeaders(request, headers),
        body: request.body ?? null,
        signal: request.signal,
        headersTimeout: request.inactivityTimeoutMilliseconds,
        bodyTimeout: request.inactivityTimeoutMilliseconds,
        opaque: createConnectionHolder(sendCheck),
      });
    try {
      const response = await (sendCheck?.sendWhenFresh(send) ?? send());
      return this.checkAnswer(request, response);
    } catch (error) {
      return Err(
        sendCheck?.toUnsentAttemptError(error) ?? toAttemptError(error),
      );
    }
  }

  /**
   * Makes a short call on a connection of its own; validates the answer. A part
   * of an answer does not pass for a whole one, as its JSON does not end.
   */
  async callJson<T>(call: JsonCall<T>): Promise<Result<T, AttemptError>> {
    const timeout =
      call.timeoutMilliseconds ?? this.options.callTimeoutMilliseconds;
    const pool = new Pool(this.options.url, {
      ...this.poolOptions,
      connections: 1,
      maxResponseSize: MAXIMUM_JSON_BYTES,
    });
    try {
      const response = await pool.request({
        method: call.method,
        path: call.path,
        headers: {'content-type': 'application/json'},
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headersTimeout: timeout,
        bodyTimeout: timeout,
        signal: AbortSignal.timeout(timeout),
      });
      const invalid = discardIfInvalid(response);
      if (invalid) return Err(invalid);
      const value = await response.body.json();
      const parsed = call.schema.safeParse(value);
      if (parsed.success) return Ok(parsed.data);
      return Err(
        new AttemptError(
          AttemptFailure.PROTOCOL_VIOLATION,
          `${call.method} ${call.path}: status ${response.statusCode}, ` +
            parsed.error.issues.map(issue => issue.message).join('; '),
        ),
      );
    } catch (error) {
      return Err(toAttemptError(error));
    } finally {
      void pool.destroy();
    }
  }

  private checkAnswer(
    request: AttemptRequest,
    response: Dispatcher.ResponseData<ConnectionHolder>,
  ): Result<UpstreamAnswer, AttemptError> {
    const body = new HttpAnswerBody(response);
    const answeredId = response.headers[ATTEMPT_ID_HEADER];
    const isExpected =
      answeredId === request.attemptId ||
      (answeredId === undefined && !this.options.requiresAttemptId);
    if (!isExpected) {
      body.cancel();
      return Err(
        new AttemptError(
          AttemptFailure.PROTOCOL_VIOLATION,
          `the answer belongs to attempt ${String(answeredId)}`,
        ),
      );
    }
    return Ok({
      status: response.statusCode,
      contentType: String(
        response.headers['content-type'] ?? 'application/octet-stream',
      ),
      isLeaving: response.headers[UPSTREAM_LEAVING_HEADER] !== undefined,
      body,
    });
  }

  private createPool(): Pool {
    return new Pool(this.options.url, {
      ...this.poolOptions,
      connections: this.options.maximumConnections,
      maxResponseSize: UNLIMITED,
      factory: (origin, options) =>
        new UpstreamConnection(origin, options as Client.Options),
    });
  }

  private get poolOptions(): Pool.Options {
    return {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      connect: {timeout: this.options.connectTimeoutMilliseconds},
    };
  }
}

function createAttemptHeaders(
  request: AttemptRequest,
  extra: Readonly<Record<string, string>>,
): Record<string, string> {
  const headers: Record<string, string> = {
    [ATTEMPT_ID_HEADER]: request.attemptId,
    'x-request-id': request.requestId,
    'x-priority': String(request.priority),
    ...extra,
  };
  if (request.contentType) headers['content-type'] = request.contentType;
  return headers;
}

type ReadResult = Result<Uint8Array | undefined, AttemptError>;

/**
 * Reads the body of an undici response. undici checks its length; without a
 * length it is whole only if its connection was not reset.
 */
class HttpAnswerBody implements AnswerBody {
  private readonly body: Dispatcher.ResponseData['body'];
  private endResult: ReadResult | undefined;
  private pendingRead: ((result: ReadResult) => void) | undefined;

  constructor(
    private readonly response: Dispatcher.ResponseData<ConnectionHolder>,
  ) {
    const {body} = response;
    this.body = body;
    body.on('readable', () => this.resolvePendingReadWithChunk());
    body.on('end', () => this.finish(this.checkEnd()));
    body.on('error', error => this.finish(Err(toAttemptError(error))));
    body.on('close', () => {
      if (!this.endResult) this.finish(Err(createClosedEarlyError()));
    });
  }

  async readChunk(): Promise<ReadResult> {
    const chunk = this.readBuffered();
    if (chunk) return Ok(chunk);
    if (this.endResult) return this.endResult;
    return new Promise(resolve => {
      this.pendingRead = resolve;
    });
  }

  cancel(): void {
    this.body.destroy();
  }

  private resolvePendingReadWithChunk(): void {
    if (!this.pendingRead) return;
    const chunk = this.readBuffered();
    if (chunk) this.resolvePendingRead(Ok(chunk));
  }

  private readBuffered(): Uint8Array | undefined {
    const chunk = this.body.read() as Uint8Array | null;
    if (chunk === null) return undefined;
    this.response.opaque.connection?.recordPayload(chunk.length);
    return chunk;
  }

  private checkEnd(): ReadResult {
    const {statusCode, headers, opaque} = this.response;
    const showsItsEnd = isSelfDelimiting(statusCode, name =>
      headers[name]?.toString(),
    );
    return showsItsEnd || !opaque.wasReset
      ? Ok(undefined)
      : Err(createResetError());
  }

  private finish(endResult: ReadResult): void {
    this.endResult ??= endResult;
    this.resolvePendingRead(this.endResult);
  }

  private resolvePendingRead(result: ReadResult): void {
    const {pendingRead} = this;
    this.pendingRead = undefined;
    pendingRead?.(result);
  }
}

function createClosedEarlyError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the body of the answer was closed before its end',
  );
}

function createResetError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the connection was reset during an answer without length',
  );
}

/** Converts an error of the HTTP client into an AttemptError. */
export function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const {code, name} = error as {code?: string; name?: string};
  const isTimeout = name === 'TimeoutError';
  const isAbort = name === 'AbortError';
  const failure = isTimeout
    ? AttemptFailure.INACTIVITY_TIMEOUT
    : isAbort
      ? AttemptFailure.CANCELLED
      : (FAILURE_BY_CODE[code ?? ''] ?? AttemptFailure.CONNECTION_LOST);
  return new AttemptError(
    failure,
    `${code ?? name}: ${String(error)}`,
    code === 'ECONNREFUSED',
  );
}
