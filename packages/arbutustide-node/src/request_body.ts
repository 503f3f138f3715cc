import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** Limits on the size and the transfer time of a request body. */
export interface BodyLimits {
  readonly bodyLimitBytes: number;
  readonly bodyTimeoutMilliseconds: number;
}

/**
 * Reads a request body within its limits. When a limit is exceeded, the
 * connection stays open so that the refusal can be sent to the caller.
 *
 * @return the body, or a refusal with `BODY_TOO_LARGE`, `REQUEST_TIMEOUT`, or
 *     `BAD_REQUEST` if the connection closed.
 */
export function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer, RefusalError>> {
  const declared = Number(message.headers['content-length'] ?? 0);
  if (declared > limits.bodyLimitBytes) {
    return Promise.resolve(Err(bodyTooLarge(limits)));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (result: Result<Buffer, RefusalError>) => {
      clearTimeout(timer);
      message.removeAllListeners('data');
      resolve(result);
    };
    const timer = setTimeout(
      () => finish(Err(bodyTimedOut(limits))),
      limits.bodyTimeoutMilliseconds,
    );
    message.on('data', (chunk: Buffer) => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > limits.bodyLimitBytes) finish(Err(bodyTooLarge(limits)));
    });
    message.once('end', () =>
      finish(Ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))),
    );
    message.once('error', () => finish(Err(connectionClosed())));
    message.once('aborted', () => finish(Err(connectionClosed())));
  });
}

function bodyTooLarge({bodyLimitBytes}: BodyLimits): RefusalError {
  return new RefusalError(
    ErrorKind.BODY_TOO_LARGE,
    `the body is longer than ${bodyLimitBytes} bytes`,
  );
}

function bodyTimedOut({bodyTimeoutMilliseconds}: BodyLimits): RefusalError {
  return new RefusalError(
    ErrorKind.REQUEST_TIMEOUT,
    `the body did not arrive within ${bodyTimeoutMilliseconds} ms`,
  );
}

function connectionClosed(): RefusalError {
  return new RefusalError(
    ErrorKind.BAD_REQUEST,
    'the connection closed before the whole body arrived',
  );
}
