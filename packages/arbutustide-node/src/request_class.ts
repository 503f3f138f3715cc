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

/** Request class and deadline of one request. */
export interface RequestClassChoice {
  readonly requestClass: RequestClass;
  /** Longest time from arrival to the complete answer. */
  readonly deadlineMilliseconds: number;
}

/**
 * Chooses the class and deadline of a request. The caller's headers can only
 * lower the priority and the deadline that the catalogue sets for the entry. A
 * class of higher priority is ignored without an error.
 *
 * @return the choice, or a `BAD_REQUEST` refusal if a header is invalid.
 */
export function chooseRequestClass(
  message: IncomingMessage,
  entry: CatalogueEntry,
  catalogue: CatalogueRevision,
): Result<RequestClassChoice, RefusalError> {
  const entryClass = catalogue.findRequestClass(entry.class);
  invariant(
    entryClass !== undefined,
    `the class of entry ${entry.name} is not in the catalogue`,
  );
  const requestedName = message.headers[CLASS_HEADER];
  const requestedClass =
    typeof requestedName === 'string'
      ? catalogue.findRequestClass(requestedName)
      : undefined;
  if (requestedName !== undefined && !requestedClass) {
    return invalidHeader(
      `${CLASS_HEADER}: unknown request class "${String(requestedName)}"`,
    );
  }
  const requestClass =
    requestedClass && requestedClass.priority > entryClass.priority
      ? requestedClass
      : entryClass;
  const limitMilliseconds = Math.min(
    entryClass.deadlineMilliseconds,
    requestClass.deadlineMilliseconds,
  );
  const deadlineHeader = message.headers[DEADLINE_HEADER];
  if (deadlineHeader === undefined)
    return Ok({requestClass, deadlineMilliseconds: limitMilliseconds});
  const requestedDeadlineMilliseconds = Number(deadlineHeader);
  if (
    !Number.isInteger(requestedDeadlineMilliseconds) ||
    requestedDeadlineMilliseconds < 1
  ) {
    return invalidHeader(
      `${DEADLINE_HEADER} must be a whole number of milliseconds, at least 1`,
    );
  }
  return Ok({
    requestClass,
    deadlineMilliseconds: Math.min(
      limitMilliseconds,
      requestedDeadlineMilliseconds,
    ),
  });
}

function invalidHeader(
  message: string,
): Result<RequestClassChoice, RefusalError> {
  return Err(new RefusalError(ErrorKind.BAD_REQUEST, message));
}
