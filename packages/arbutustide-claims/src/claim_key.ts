import {createHash} from 'node:crypto';

import {CLAIM_PREFIX} from './claim.js';

/** What identifies a request that may be sent again. */
export interface ClaimIdentity {
  readonly caller: string;
  readonly entry: string;
  /** Value of the `Idempotency-Key` header. */
  readonly key: string;
}

/** What must be equal when a request is sent again under the same key. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array | undefined;
}

/** Store key of a claim. */
export function claimKey(identity: ClaimIdentity): string {
  const digest = createHash('sha256').update(identity.key).digest('hex');
  return `${CLAIM_PREFIX}${identity.caller}/${identity.entry}/${digest}`;
}

/** SHA-256 over the content of a request, in hexadecimal. */
export function requestDigest(content: RequestContent): string {
  const hash = createHash('sha256');
  const {method, path, contentType, body} = content;
  hash.update(JSON.stringify([method, path, contentType ?? '']));
  if (body) hash.update(body);
  return hash.digest('hex');
}
