import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {Claim, KeptAnswer} from './claim.js';
import type {ClaimIdentity} from './claim_key.js';

import {randomUUID} from 'node:crypto';

import {delay, ErrorKind, RefusalError} from '@arbutustide/errors';
import {StoreErrorKind, writeConfirmed} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {claimSchema, ClaimState} from './claim.js';
import {claimKey} from './claim_key.js';

/** Tries of a claim whose reply was lost, within the caller's patience. */
const CLAIM_WRITE_ATTEMPTS = 2;
const OUTCOME_WRITE_ATTEMPTS = 6;
/** The last look is a minute after the claim was given up. */
const ABANDONED_CLAIM_CHECKS = 8;
const BASE_BACKOFF_MILLISECONDS = 250;

/** A claim this process holds; nothing else may run the request. */
export interface HeldClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly storeVersion: number;
}

/** A request to be claimed. */
export interface ClaimRequest {
  readonly identity: ClaimIdentity;
  readonly requestDigest: string;
  readonly requestId: string;
}

/** What claiming led to. */
export enum ClaimOutcome {
  /** This process may run the request. */
  HELD = 'held',
  /** The request ran before and its answer is kept. */
  REPLAY = 'replay',
}

/** A claim gained, or the answer kept from an earlier run. */
export type ClaimResult =
  | {readonly outcome: ClaimOutcome.HELD; readonly held: HeldClaim}
  | {readonly outcome: ClaimOutcome.REPLAY; readonly answer: KeptAnswer};

/** Options of the claims of one node. */
export interface ClaimStoreOptions {
  /** Identity of this process. */
  readonly claimant: string;
  readonly answerLimitBytes: number;
  /** Whether a process is still heard of. */
  readonly isAlive: (identity: string) => boolean;
}

/**
 * Claims for requests that carry an `Idempotency-Key`. A claim is created
 * before the first byte leaves and is never taken over, so the request runs at
 * most once whatever happens to the claimant.
 */
export class ClaimStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly options: ClaimStoreOptions,
  ) {}

  /** Claims a request, or tells why it must not run now. */
  async claim(
    request: ClaimRequest,
  ): Promise<Result<ClaimResult, RefusalError>> {
    const key = claimKey(request.identity);
    const claim = this.createClaim(request);
    let mayTakeEffectLater = false;
    for (let tries = 0; tries < CLAIM_WRITE_ATTEMPTS; tries += 1) {
      const written = await writeConfirmed(
        this.store,
        key,
        claim,
        undefined,
        value => claimSchema.parse(value).claimId === claim.claimId,
      );
      if (written.ok) return Ok(toHeldResult(key, claim, written.val));
      const {kind} = written.val;
      if (kind === StoreErrorKind.CONFLICT)
        return this.resolveConflict(key, request);
      if (kind !== StoreErrorKind.OUTCOME_UNKNOWN) break;
      mayTakeEffectLater = true;
    }
    if (mayTakeEffectLater) void this.deleteAbandonedClaim(key, claim.claimId);
    return Err(
      new RefusalError(
        ErrorKind.STORE_UNAVAILABLE,
        'the request was not run: its key could not be claimed',
      ),
    );
  }

  /**
   * Records that the request ran. Never fails the caller: without a record a
   * resend is told that the request may have run, which is true.
   */
  async settleDone(
    held: HeldClaim,
    answer: KeptAnswer | undefined,
  ): Promise<void> {
    const isSmall =
      answer && answer.bodyBase64.length <= this.options.answerLimitBytes;
    await this.recordOutcome(held, {
      ...held.claim,
      state: ClaimState.DONE,
      ...(isSmall && {answer}),
    });
  }

  /** Records that nobody knows whether the request ran. */
  async settleUnknown(held: HeldClaim): Promise<void> {
    await this.recordOutcome(held, {...held.claim, state: ClaimState.UNKNOWN});
  }

  /** Gives a claim back whose request provably was not run. */
  async release(held: HeldClaim): Promise<void> {
    for (let tries = 0; tries < OUTCOME_WRITE_ATTEMPTS; tries += 1) {
      const deleted = await this.store.delete(held.key, held.storeVersion);
      if (deleted.ok || !deleted.val.isOutage) return;
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** tries);
    }
  }

  /**
   * Deletes a claim that was given up but may still land in the store, so that
   * a resend is not told that the request is running. Each try to create it may
   * land by itself, so the looking goes on after a deletion.
   */
  private async deleteAbandonedClaim(
    key: string,
    claimId: string,
  ): Promise<void> {
    for (let tries = 0; tries < ABANDONED_CLAIM_CHECKS; tries += 1) {
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** tries);
      const stored = await this.store.get(key);
      if (!stored.ok) continue;
      if (claimSchema.parse(stored.val.value).claimId !== claimId) return;
      await this.store.delete(key, stored.val.version);
    }
  }

  private async recordOutcome(held: HeldClaim, settled: Claim): Promise<void> {
    for (let tries = 0; tries < OUTCOME_WRITE_ATTEMPTS; tries += 1) {
      const written = await writeConfirmed(
        this.store,
        held.key,
        settled,
        held.storeVersion,
        value => claimSchema.parse(value).state === settled.state,
      );
      if (written.ok || !written.val.isOutage) return;
      await delay(BASE_BACKOFF_MILLISECONDS * 2 ** tries);
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

  /** Answers a resend from the claim another attempt holds. */
  private async resolveConflict(
    key: string,
    request: ClaimRequest,
  ): Promise<Result<ClaimResult, RefusalError>> {
    const stored = await this.store.get(key);
    if (!stored.ok) {
      return Err(
        new RefusalError(
          ErrorKind.STORE_UNAVAILABLE,
          'this request was not run: the claim on its key cannot be read',
        ),
      );
    }
    const claim = claimSchema.parse(stored.val.value);
    if (claim.requestDigest !== request.requestDigest) {
      return Err(
        new RefusalError(
          ErrorKind.KEY_REUSED,
          'the key was used before for a different request',
        ),
      );
    }
    return CONFLICT_RESOLVERS[claim.state](claim, this.options.isAlive);
  }
}

type ConflictResolver = (
  claim: Claim,
  isAlive: (identity: string) => boolean,
) => Result<ClaimResult, RefusalError>;

const CONFLICT_RESOLVERS: Readonly<Record<ClaimState, ConflictResolver>> = {
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
            `the request ran as ${claim.requestId}; its answer was not kept`,
          ),
        ),
  [ClaimState.UNKNOWN]: refuseOutcomeUnknown,
};

function refuseOutcomeUnknown(claim: Claim): Result<ClaimResult, RefusalError> {
  return Err(
    new RefusalError(
      ErrorKind.CLAIM_OUTCOME_UNKNOWN,
      `the request may have run as ${claim.requestId}; no answer is kept`,
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
