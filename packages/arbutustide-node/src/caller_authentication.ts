import type {CatalogueCaller, CatalogueRevision} from '@arbutustide/catalogue';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import {createHash, randomUUID} from 'node:crypto';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** Caller of every request if the catalogue defines no callers. */
const ANONYMOUS_CALLER: Pick<CatalogueCaller, 'name' | 'entries'> = {
  name: 'anonymous',
};

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const BEARER_PATTERN = /^Bearer (\S+)$/i;

/** An authenticated caller and the entries it is allowed to use. */
export type AuthenticatedCaller = typeof ANONYMOUS_CALLER;

/**
 * Returns the request ID from `x-request-id` if it is 1 to 128 printable ASCII
 * characters without spaces, else a new random ID.
 */
export function getRequestId(message: IncomingMessage): string {
  const suppliedId = message.headers['x-request-id'];
  if (typeof suppliedId === 'string' && REQUEST_ID_PATTERN.test(suppliedId))
    return suppliedId;
  return randomUUID();
}

/**
 * Authenticates the caller by the API key in its `Authorization` header.
 *
 * @return the caller, or an `UNAUTHENTICATED` refusal.
 */
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
    apiKey === undefined
      ? undefined
      : catalogue.findCallerByKeyDigest(apiKeyDigest);
  if (caller) return Ok(caller);
  return Err(
    new RefusalError(
      ErrorKind.UNAUTHENTICATED,
      'the API key is missing or unknown: send "Authorization: Bearer KEY"',
    ),
  );
}

/**
 * Whether the caller is allowed to use an entry. A caller without a list of
 * entries is allowed to use all.
 */
export function canUseEntry(
  caller: AuthenticatedCaller,
  entryName: string,
): boolean {
  return caller.entries === undefined || caller.entries.includes(entryName);
}
