import type {ObjectStore} from '@arbutustide/object-store';

import {CLAIM_KEY_PREFIX, claimSchema} from './claim.js';

/** Limit per run, so that deletions stay a small share of the writes. */
const MAXIMUM_DELETIONS_PER_RUN = 100;

/**
 * Deletes claims that are older than the retention time. An idempotency key
 * protects a request only for that time; the operators' documentation says so.
 *
 * @return the number of claims deleted.
 */
export async function deleteExpiredClaims(
  store: ObjectStore,
  retentionMilliseconds: number,
): Promise<number> {
  const listed = await store.list(CLAIM_KEY_PREFIX);
  if (!listed.ok) return 0;
  const newestExpiredAt = Date.now() - retentionMilliseconds;
  let deletedCount = 0;
  for (const {key, value, version} of listed.val.objects) {
    if (deletedCount >= MAXIMUM_DELETIONS_PER_RUN) break;
    const claim = claimSchema.safeParse(value);
    if (!claim.success) continue;
    if (claim.data.createdAtMilliseconds > newestExpiredAt) continue;
    const deleted = await store.delete(key, version);
    if (deleted.ok) deletedCount += 1;
  }
  return deletedCount;
}
