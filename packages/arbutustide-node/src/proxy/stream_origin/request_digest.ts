import {createHash} from 'node:crypto';

/**
 * Characters of a digest, six bits each. Makes two of a million streams with
 * the same digest unlikely, and keeps the archive small: all nodes read it when
 * they start again at once.
 */
const DIGEST_LENGTH = 11;

/** Digest of the id of the request that began a stream. */
export function digestRequestId(requestId: string): string {
  return createHash('sha256')
    .update(requestId)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}

/** Whether a sequence of digests contains this one. */
export function includesDigest(digests: string, digest: string): boolean {
  let index = digests.indexOf(digest);
  // A match between two digests is none.
  while (index >= 0 && index % DIGEST_LENGTH !== 0)
    index = digests.indexOf(digest, index + 1);
  return index >= 0;
}

/** Number of digests in a sequence. */
export function countDigests(digests: string): number {
  return digests.length / DIGEST_LENGTH;
}
