import type {Claim} from '@arbutustide/claims';
import type {StoredObject} from '@arbutustide/object-store';

import type {PlatformOptions} from './platform_access.js';

import {userInfo} from 'node:os';

import {claimStoreKey, claimSchema, ClaimState} from '@arbutustide/claims';

import {CommandError, toStoreCommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {printRows} from './output.js';
import {openObjectStore} from './platform_access.js';

/** An operator's finding about a request that may have run. */
export enum ClaimResolution {
  /** It ran; a resend is refused. */
  RAN = 'ran',
  /** It did not run; a resend is run. */
  NOT_RUN = 'not-run',
}

interface StoredClaim {
  readonly claim: Claim;
  readonly object: StoredObject;
}

/** `claims show CALLER ENTRY KEY`: prints the claim on an idempotency key. */
export async function showClaimCommand(
  caller: string,
  entry: string,
  key: string,
  options: PlatformOptions,
): Promise<void> {
  const {claim, object} = await readClaim(caller, entry, key, options);
  printRows(
    [
      {
        state: claim.state,
        requestId: claim.requestId,
        claimant: claim.claimant,
        created: new Date(claim.createdAtMilliseconds).toISOString(),
        answerKept: claim.answer !== undefined,
        settledBy: claim.settledBy ?? '',
        version: object.version,
      },
    ],
    options.output,
  );
}

/**
 * `claims resolve CALLER ENTRY KEY --as RESOLUTION`: marks the claim as done if
 * the request ran, and deletes it otherwise.
 */
export async function resolveClaimCommand(
  caller: string,
  entry: string,
  key: string,
  options: PlatformOptions & {readonly as: ClaimResolution},
): Promise<void> {
  const {claim, object} = await readClaim(caller, entry, key, options);
  if (claim.state === ClaimState.DONE) {
    throw new CommandError(
      ExitCode.CONFLICT,
      'the request ran and its outcome is recorded; nothing to resolve',
    );
  }
  const store = openObjectStore(options);
  const resolvedClaim = {
    ...claim,
    state: ClaimState.DONE,
    settledBy: userInfo().username,
  };
  const written =
    options.as === ClaimResolution.RAN
      ? await store.update(object.key, resolvedClaim, object.version)
      : await store.delete(object.key, object.version);
  if (!written.ok) throw toStoreCommandError(written.val);
  printRows([{key: object.key, resolvedAs: options.as}], options.output);
}

async function readClaim(
  caller: string,
  entry: string,
  key: string,
  options: PlatformOptions,
): Promise<StoredClaim> {
  const stored = await openObjectStore(options).get(
    claimStoreKey({caller, entry, key}),
  );
  if (!stored.ok) throw toStoreCommandError(stored.val);
  return {claim: claimSchema.parse(stored.val.value), object: stored.val};
}
