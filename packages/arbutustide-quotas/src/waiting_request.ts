import type {ClaimWait} from './claim_wait.js';
import type {Lease, TakenUnits, TeamLeases} from './team_leases.js';

import {isValid} from './team_leases.js';

/** A request that waits for units. */
export interface WaitingRequest {
  readonly team: string;
  readonly cost: number;
  readonly leases: TeamLeases;
  /** Units that this node held and units that were granted to it. */
  granted: Lease[];
  /** Number of suspensions before these were granted. */
  suspensions: number;
  /** What it has taken, once there was enough. */
  taken: TakenUnits | undefined;
  /** Whether it has stopped waiting. */
  isDone: boolean;
  /** Times after which the issuers that were short may have enough. */
  readonly retryMilliseconds: number[];
  readonly wait: ClaimWait;
}

/** Units of leases that have not lapsed. */
export function sumOfValid(leases: readonly Lease[]): number {
  return leases.filter(isValid).reduce((sum, {units}) => sum + units, 0);
}
