import type {CatalogueCaller, CatalogueRevision} from '@arbutustide/catalogue';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import {createHash, randomUUID} from 'node:crypto';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** Caller of every request while the catalogue names no callers. */
const ANONYMOUS: Pick<CatalogueCaller, 'name' | 'entries'> = {
  name: 'anonymous',
};

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const BEARER_PATTERN = /^Bearer (\S+)$/i;

/** Who sends a request, and what it may use. */
export type IdentifiedCaller = typeof ANONYMOUS;

/** The caller's own request id if it is usable, else a new one. */
export function requestIdOf(message: IncomingMessage): string {
  const given = message.headers['x-request-id'];
  if (typeof given === 'string' && REQUEST_ID_PATTERN.test(given)) return given;
  return randomUUID();
}

/** Finds the caller by its bearer key. */
export function identifyCaller(
  message: IncomingMessage,
  catalogue: CatalogueRevision,
): Result<IdentifiedCaller, RefusalError> {
  if (catalogue.document.callers.length === 0) return Ok(ANONYMOUS);
  const key = BEARER_PATTERN.exec(message.headers.authorization ?? '')?.[1];
  const digest = createHash('sha256')
    .update(key ?? '')
    .digest('hex');
  const caller = key === undefined ? undefined : catalogue.callerByKey(digest);
  if (caller) return Ok(caller);
  return Err(
    new RefusalError(
      ErrorKind.UNAUTHENTICATED,
      'send a key known to the catalogue as "Authorization: Bearer KEY"',
    ),
  );
}

/** Whether the caller may use an entry. */
export function mayUse(caller: IdentifiedCaller, entryName: string): boolean {
  return caller.entries === undefined || caller.entries.includes(entryName);
}
