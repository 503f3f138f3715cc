/** At-most-once execution of requests that carry an `Idempotency-Key`. */
export type {Claim, StoredAnswer} from './claim.js';
export type {RequestContent, ClaimIdentity} from './claim_key.js';
export type {
  ClaimResult,
  ClaimRequest,
  ClaimStoreOptions,
  HeldClaim,
} from './claim_store.js';

export {CLAIM_KEY_PREFIX, claimSchema, ClaimState} from './claim.js';
export {claimStoreKey, computeRequestDigest} from './claim_key.js';
export {ClaimOutcome, ClaimStore} from './claim_store.js';
export {deleteExpiredClaims} from './delete_expired_claims.js';
