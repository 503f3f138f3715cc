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
export interface RequestClassChoice {
  readonly requestClass: RequestClass;
  /** Longest time from arrival to the whole answer, in milliseconds. */
  readonly deadlineMilliseconds: number;
}

/**
 * The class and deadline of a request. Headers may lower what the entry has,
 * never raise it.
 */
export function chooseRequestClass(
  message: IncomingMessage,
  entry: CatalogueEntry,
  catalogue: CatalogueRevision,
): Result<RequestClassChoice, RefusalError> {
  const entryClass = catalogue.requestClass(entry.class);
  invariant(entryClass !== undefined, `entry ${entry.name} has no class`);
  const requestedName = message.headers[CLASS_HEADER];
  const requestedClass =
    typeof requestedName === 'string'
      ? catalogue.requestClass(requestedName)
      : undefined;
  if (requestedName !== undefined && !requestedClass) {
    return invalidHeader(
      `${CLASS_HEADER}: there is no class "${String(requestedName)}"`,
    );
  }
  const requestClass =
    requestedClass && requestedClass.priority > entryClass.priority
      ? requestedClass
      : entryClass;
  const maximumDeadlineMilliseconds = Math.min(
    entryClass.deadlineMilliseconds,
    requestClass.deadlineMilliseconds,
  );
  const deadlineHeader = message.headers[DEADLINE_HEADER];
  if (deadlineHeader === undefined)
    return Ok({
      requestClass,
      deadlineMilliseconds: maximumDeadlineMilliseconds,
    });
  const requestedDeadlineMilliseconds = Number(deadlineHeader);
  if (
    !Number.isInteger(requestedDeadlineMilliseconds) ||
    requestedDeadlineMilliseconds < 1
  ) {
    return invalidHeader(`${DEADLINE_HEADER}: allowed: a whole number from 1`);
  }
  return Ok({
    requestClass,
    deadlineMilliseconds: Math.min(
      maximumDeadlineMilliseconds,
      requestedDeadlineMilliseconds,
    ),
  });
}

function invalidHeader(
  message: string,
): Result<RequestClassChoice, RefusalError> {
  return Err(new RefusalError(ErrorKind.BAD_REQUEST, message));
}
