import type {Dispatcher} from 'undici';

import {AttemptError, AttemptFailure} from './attempt_error.js';

const LOWEST_STATUS = 100;
const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;

/** Code of the error with which a connection ends for its status line. */
export const INVALID_STATUS_CODE = 'UPSTREAM_INVALID_STATUS';

/** `HTTP/1.1 200 ` up to what follows the status. */
const STATUS_LINE_START_LENGTH = 13;
/** Bytes of each piece that are looked at. */
const MAXIMUM_INSPECTED_BYTES = 64;
const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] (\d{3})(?=[ \r\n])/;

/**
 * Destroys a final answer whose status does not exist, which is no answer of the
 * upstream. Returns what is wrong with it; undefined if the status is valid.
 */
export function discardIfInvalid({
  statusCode,
  body,
}: Pick<Dispatcher.ResponseData, 'statusCode' | 'body'>):
  AttemptError | undefined {
  const isValid =
    statusCode >= LOWEST_FINAL_STATUS && statusCode <= HIGHEST_STATUS;
  if (isValid) return undefined;
  // Destroying the body emits an error, which would be uncaught otherwise.
  body.on('error', () => {}).destroy();
  const reason = describeInvalidStatus(String(statusCode));
  return new AttemptError(AttemptFailure.PROTOCOL_VIOLATION, reason);
}

/**
 * Finds a status that does not exist in the bytes with which an answer, or an
 * interim one, begins. HTTP parsers differ in which of them they pass on.
 */
export class StatusLineCheck {
  private start = '';
  private isOver = false;

  /** Reads more bytes; returns what is wrong with the status, if so. */
  push(bytes: Uint8Array): string | undefined {
    if (this.isOver) return undefined;
    const inspected = bytes.subarray(0, MAXIMUM_INSPECTED_BYTES);
    const text = Buffer.from(inspected).toString('latin1');
    // HTTP parsers skip empty lines before a status line.
    this.start = (this.start + text).trimStart();
    if (this.start.length < STATUS_LINE_START_LENGTH) return undefined;
    this.isOver = true;
    const status = Number(STATUS_LINE_PATTERN.exec(this.start)?.[1]);
    const isValid = status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
    return isValid
      ? undefined
      : describeInvalidStatus(this.start.slice(0, STATUS_LINE_START_LENGTH));
  }
}

function describeInvalidStatus(text: string): string {
  return `the upstream sent no valid status: ${JSON.stringify(text)}`;
}
