/** At-most-once execution of requests that carry an `Idempotency-Key`. */
export type {Claim, KeptAnswer} from './claim.js';
export type {RequestContent, ClaimIdentity} from './claim_key.js';
export type {
  ClaimResult,
  ClaimRequest,
  ClaimStoreOptions,
  HeldClaim,
} from './claim_store.js';

export {CLAIM_PREFIX, claimSchema, ClaimState} from './claim.js';
export {claimKey, requestDigest} from './claim_key.js';
export {ClaimOutcome, ClaimStore} from './claim_store.js';
export {sweepClaims} from './delete_expired_claims.js';
