import type {CatalogueCaller, CatalogueRevision} from '@arbutustide/catalogue';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import {createHash, randomUUID} from 'node:crypto';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** Caller of every request while the catalogue names no callers. */
const ANONYMOUS_CALLER: Pick<CatalogueCaller, 'name' | 'entries'> = {
  name: 'anonymous',
};

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const BEARER_PATTERN = /^Bearer (\S+)$/i;

/** Who sends a request, and what it may use. */
export type AuthenticatedCaller = typeof ANONYMOUS_CALLER;

/** The caller's own request id if it is usable, else a new one. */
export function getRequestId(message: IncomingMessage): string {
  const suppliedId = message.headers['x-request-id'];
  if (typeof suppliedId === 'string' && REQUEST_ID_PATTERN.test(suppliedId))
    return suppliedId;
  return randomUUID();
}

/** Finds the caller by its bearer key. */
export function authenticateCaller(
  message: IncomingMessage,
  catalogue: CatalogueRevision,
): Result<AuthenticatedCaller, RefusalError> {
  if (catalogue.document.callers.length === 0) return Ok(ANONYMOUS_CALLER);
  const apiKey = BEARER_PATTERN.exec(message.headers.authorization ?? '')?.[1];
  const apiKeyDigest = createHash('sha256')
    .update(apiKey ?? '')
    .digest('hex');
  const caller =
    apiKey === undefined ? undefined : catalogue.callerByKey(apiKeyDigest);
  if (caller) return Ok(caller);
  return Err(
    new RefusalError(
      ErrorKind.UNAUTHENTICATED,
      'send a key known to the catalogue as "Authorization: Bearer KEY"',
    ),
  );
}

/** Whether the caller may use an entry. */
export function canUseEntry(
  caller: AuthenticatedCaller,
  entryName: string,
): boolean {
  return caller.entries === undefined || caller.entries.includes(entryName);
}
