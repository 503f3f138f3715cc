/** A node's claim on the quota of one team. */
export interface QuotaClaim {
  readonly team: string;
  /** Units that the node expects to use during a lease, with `needed`. */
  readonly wanted: number;
  /** Cost of a waiting request; zero to renew a lease. */
  readonly needed: number;
  /** Unused units of earlier leases that the node gives back. */
  readonly returned: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly configurationVersion: number;
}

/** Answer to a claim. */
export interface QuotaGrant {
  readonly team: string;
  /** False if the answering node does not issue the team's quota. */
  readonly isIssuer: boolean;
  /**
   * Granted units. Those for the waiting request, up to `needed`, lapse
   * IMMEDIATE_MILLISECONDS after the claim was sent, the others later.
   */
  readonly granted: number;
  /** Time from sending the claim until the others lapse. */
  readonly validMilliseconds: number;
  /** Time until the needed units are available, if fewer were granted. */
  readonly retryAfterMilliseconds: number;
}
