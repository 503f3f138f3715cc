import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {Claim, StoredAnswer} from './claim.js';
import type {ClaimIdentity} from './claim_key.js';

import {randomUUID} from 'node:crypto';

import {delay, ErrorKind, RefusalError} from '@arbutustide/errors';
import {StoreErrorKind, writeAndConfirm} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {claimSchema, ClaimState} from './claim.js';
import {claimStoreKey} from './claim_key.js';

/** Few attempts to write a claim, because the caller is waiting. */
const CLAIM_WRITE_ATTEMPTS = 2;
const OUTCOME_WRITE_ATTEMPTS = 6;
/** With exponential delays the last check is about a minute after the first. */
const ABANDONED_CLAIM_CHECKS = 8;
/** First delay between attempts; it doubles after each. */
const BASE_BACKOFF_MILLISECONDS = 250;

/** A claim that this process holds; no other process may run the request. */
export interface HeldClaim {
  /** Key in the object store. */
  readonly key: string;
  readonly claim: Claim;
  /** Version of the stored claim, for conditional writes. */
  readonly storeVersion: number;
}

/** A request for which to create a claim. */
export interface ClaimRequest {
  readonly identity: ClaimIdentity;
  readonly requestDigest: string;
  readonly requestId: string;
}

/** Outcome of an attempt to claim a request. */
export enum ClaimOutcome {
  /** This process may run the request. */
  HELD = 'held',
  /** The request already ran and its answer is stored. */
  REPLAY = 'replay',
}

/** A claim that was gained, or the answer stored by an earlier run. */
export type ClaimResult =
  | {readonly outcome: ClaimOutcome.HELD; readonly held: HeldClaim}
  | {readonly outcome: ClaimOutcome.REPLAY; readonly answer: StoredAnswer};

/** Options of a ClaimStore. */
export interface ClaimStoreOptions {
  /** Identity of this process. */
  readonly claimant: string;
  /** Answers with a longer Base64 body are not stored. */
  readonly answerLimitBytes: number;
  /** Whether a node's process is still a live member of the cluster. */
  readonly isAlive: (identity: string) => boolean;
}

/**
 * Creates and updates claims for requests that carry an `Idempotency-Key`. A
 * claim is created before the first byte is sent to an upstream and is never
 * taken over by another process, so the request runs at most once even if the
 * claimant fails.
 */
export class ClaimStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly options: ClaimStoreOptions,
  ) {}

  /** Claims a request, or returns the refusal that says why it may not run. */
  async claim(
    request: ClaimRequest,
  ): Promise<Result<ClaimResult, RefusalError>> {
    const key = claimStoreKey(request.identity);
    const claim = this.createClaim(request);
    let mayTakeEffectLater = false;
    for (let attempt = 0; attempt < CLAIM_WRITE_ATTEMPTS; attempt += 1) {
      const written = await writeAndConfirm(
        this.store,
        key,
        claim,
        undefined,
        value => claimSchema.parse(value).claimId === claim.claimId,
      );
      if (written.ok) return Ok(toHeldResult(key, claim, written.val));
      const {kind} = written.val;
      if (kind === StoreErrorKind.CONFLICT) return this.reconcile(key, request);
      if (kind !== StoreErrorKind.OUTCOME_UNKNOWN) break;
      mayTakeEffectLater = true;
    }
    if (mayTakeEffectLater) void this.deleteAbandonedClaim(key, claim.claimId);
    return Err(
      new RefusalError(
        ErrorKind.STORE_UNAVAILABLE,
        'the request was not run: its idempotency key could not be claimed',
      ),
    );
  }

  /**
   * Records that the request ran. Does not report a failed write: without the
   * record, a request sent again is refused because it may have run, which is
   * correct.
   */
  async recordDone(
    held: HeldClaim,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    const isStorable =
      answer && answer.bodyBase64.length <= this.options.answerLimitBytes;
    await this.recordOutcome(held, {
      ...held.claim,
      state: ClaimState.DONE,
      ...(isStorable && {answer}),
    });
  }

  /** Records that it is not known whether the request ran. */
  async recordOutcomeUnknown(held: HeldClaim): Promise<void> {
    await this.recordOutcome(held, {...held.claim, state: ClaimState.UNKNOWN});
  }

  /** Deletes the claim of a request that provably did not run. */
  async release(held: HeldClaim): Promise<void> {
    for (let attempt = 0; attempt < OUTCOME_WRITE_ATTEMPTS; attempt += 1) {
      const deleted = await this.store.delete(held.key, held.storeVersion);
      if (deleted.ok || !deleted.val.isOutage) return;
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** attempt);
    }
  }

  /**
   * Deletes a claim that was abandoned but may still be written to the store,
   * so that a request sent again is not refused as running. Each attempt to
   * create it may take effect late, so the checks continue after a deletion.
   */
  private async deleteAbandonedClaim(
    key: string,
    claimId: string,
  ): Promise<void> {
    for (let attempt = 0; attempt < ABANDONED_CLAIM_CHECKS; attempt += 1) {
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** attempt);
      const stored = await this.store.get(key);
      if (!stored.ok) continue;
      if (claimSchema.parse(stored.val.value).claimId !== claimId) return;
      await this.store.delete(key, stored.val.version);
    }
  }

  private async recordOutcome(held: HeldClaim, updated: Claim): Promise<void> {
    for (let attempt = 0; attempt < OUTCOME_WRITE_ATTEMPTS; attempt += 1) {
      const written = await writeAndConfirm(
        this.store,
        held.key,
        updated,
        held.storeVersion,
        value => claimSchema.parse(value).state === updated.state,
      );
      if (written.ok || !written.val.isOutage) return;
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** attempt);
    }
  }

  private createClaim(request: ClaimRequest): Claim {
    return {
      claimId: randomUUID(),
      claimant: this.options.claimant,
      caller: request.identity.caller,
      entry: request.identity.entry,
      requestDigest: request.requestDigest,
      requestId: request.requestId,
      state: ClaimState.RUNNING,
      createdAtMilliseconds: Date.now(),
    };
  }

  /** Answers a request sent again from the claim that exists for its key. */
  private async reconcile(
    key: string,
    request: ClaimRequest,
  ): Promise<Result<ClaimResult, RefusalError>> {
    const stored = await this.store.get(key);
    if (!stored.ok) {
      return Err(
        new RefusalError(
          ErrorKind.STORE_UNAVAILABLE,
          'the request was not run: the claim on its key cannot be read',
        ),
      );
    }
    const claim = claimSchema.parse(stored.val.value);
    if (claim.requestDigest !== request.requestDigest) {
      return Err(
        new RefusalError(
          ErrorKind.KEY_REUSED,
          'the idempotency key was already used for a different request',
        ),
      );
    }
    return CONFLICT_HANDLERS[claim.state](claim, this.options.isAlive);
  }
}

type ConflictHandler = (
  claim: Claim,
  isAlive: (identity: string) => boolean,
) => Result<ClaimResult, RefusalError>;

const CONFLICT_HANDLERS: Readonly<Record<ClaimState, ConflictHandler>> = {
  [ClaimState.RUNNING]: (claim, isAlive) =>
    isAlive(claim.claimant)
      ? Err(
          new RefusalError(
            ErrorKind.CLAIM_RUNNING,
            `the request is running as ${claim.requestId}`,
          ),
        )
      : refuseOutcomeUnknown(claim),
  [ClaimState.DONE]: claim =>
    claim.answer
      ? Ok({outcome: ClaimOutcome.REPLAY, answer: claim.answer})
      : Err(
          new RefusalError(
            ErrorKind.CLAIM_ANSWER_NOT_KEPT,
            `the request ran as ${claim.requestId}; its answer was not stored`,
          ),
        ),
  [ClaimState.UNKNOWN]: refuseOutcomeUnknown,
};

function refuseOutcomeUnknown(claim: Claim): Result<ClaimResult, RefusalError> {
  return Err(
    new RefusalError(
      ErrorKind.CLAIM_OUTCOME_UNKNOWN,
      `the request may have run as ${claim.requestId}; no answer is stored`,
    ),
  );
}

function toHeldResult(
  key: string,
  claim: Claim,
  stored: StoredObject,
): ClaimResult {
  return {
    outcome: ClaimOutcome.HELD,
    held: {key, claim, storeVersion: stored.version},
  };
}
