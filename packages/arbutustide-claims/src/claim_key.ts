import {createHash} from 'node:crypto';

import {CLAIM_KEY_PREFIX} from './claim.js';

/** Identifies a request that a caller may send more than once. */
export interface ClaimIdentity {
  readonly caller: string;
  readonly entry: string;
  /** Value of the `Idempotency-Key` header. */
  readonly key: string;
}

/** The parts of a request that must be equal when its key is used again. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array | undefined;
}

/** Returns the key in the object store of a claim. */
export function claimStoreKey(identity: ClaimIdentity): string {
  const digest = createHash('sha256').update(identity.key).digest('hex');
  return `${CLAIM_KEY_PREFIX}${identity.caller}/${identity.entry}/${digest}`;
}

/** Returns the SHA-256 of a request's content in hexadecimal. */
export function computeRequestDigest(content: RequestContent): string {
  const hash = createHash('sha256');
  const {method, path, contentType, body} = content;
  hash.update(JSON.stringify([method, path, contentType ?? '']));
  if (body) hash.update(body);
  return hash.digest('hex');
}
