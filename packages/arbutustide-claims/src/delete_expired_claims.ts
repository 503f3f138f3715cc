import type {ObjectStore} from '@arbutustide/object-store';

import {CLAIM_PREFIX, claimSchema} from './claim.js';

/** Deletions in one sweep, so that it stays a small share of the writes. */
const MAXIMUM_DELETIONS_PER_RUN = 100;

/**
 * Deletes claims that are older than the retention time. A key is unique only
 * for that long, as operators' pages say.
 *
 * @return the number of claims deleted.
 */
export async function sweepClaims(
  store: ObjectStore,
  retentionMilliseconds: number,
): Promise<number> {
  const listed = await store.list(CLAIM_PREFIX);
  if (!listed.ok) return 0;
  const horizon = Date.now() - retentionMilliseconds;
  let deletedCount = 0;
  for (const {key, value, version} of listed.val.objects) {
    if (deletedCount >= MAXIMUM_DELETIONS_PER_RUN) break;
    const claim = claimSchema.safeParse(value);
    if (!claim.success) continue;
    if (claim.data.createdAtMilliseconds > horizon) continue;
    const deleted = await store.delete(key, version);
    if (deleted.ok) deletedCount += 1;
  }
  return deletedCount;
}
