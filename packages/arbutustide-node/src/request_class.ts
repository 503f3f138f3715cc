import type {
  CatalogueEntry,
  CatalogueRevision,
  RequestClass,
} from '@arbutustide/catalogue';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import {ErrorKind, invariant, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

const CLASS_HEADER = 'x-request-class';
const DEADLINE_HEADER = 'x-deadline-milliseconds';

/** Class and deadline of one request. */
export interface ClassChoice {
  readonly requestClass: RequestClass;
  /** Longest time from arrival to the whole answer, in milliseconds. */
  readonly deadlineMilliseconds: number;
}

/**
 * The class and deadline of a request. Headers may lower what the entry has,
 * never raise it.
 */
export function chooseClass(
  message: IncomingMessage,
  entry: CatalogueEntry,
  catalogue: CatalogueRevision,
): Result<ClassChoice, RefusalError> {
  const own = catalogue.requestClass(entry.class);
  invariant(own !== undefined, `entry ${entry.name} has no class`);
  const asked = message.headers[CLASS_HEADER];
  const named =
    typeof asked === 'string' ? catalogue.requestClass(asked) : undefined;
  if (asked !== undefined && !named) {
    return invalid(`${CLASS_HEADER}: there is no class "${String(asked)}"`);
  }
  const requestClass = named && named.priority > own.priority ? named : own;
  const limit = Math.min(
    own.deadlineMilliseconds,
    requestClass.deadlineMilliseconds,
  );
  const given = message.headers[DEADLINE_HEADER];
  if (given === undefined)
    return Ok({requestClass, deadlineMilliseconds: limit});
  const milliseconds = Number(given);
  if (!Number.isInteger(milliseconds) || milliseconds < 1) {
    return invalid(`${DEADLINE_HEADER}: allowed: a whole number from 1`);
  }
  return Ok({
    requestClass,
    deadlineMilliseconds: Math.min(limit, milliseconds),
  });
}

function invalid(message: string): Result<ClassChoice, RefusalError> {
  return Err(new RefusalError(ErrorKind.BAD_REQUEST, message));
}
