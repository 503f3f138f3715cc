/** What a deployment allows a team to exceed its quota by. */
export interface QuotaRule {
  readonly windowMilliseconds: number;
  /** Share of a window's quota by which it may be exceeded. */
  readonly overShare: number;
  /** Units by which it may be exceeded besides. */
  readonly slack: number;
}

/** Limit of one team, over all nodes together. */
export interface QuotaLimits {
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
  /** Units that the rule allows in addition, in the team's unit. */
  readonly slack: number;
  /** Version of the configuration that the limit is from. */
  readonly version: number;
}

/**
 * How long tokens for a waiting request stay valid after they were asked for.
 * The node uses them when they arrive, or not at all. On a host with 0.12 of a
 * core a call takes some hundred milliseconds under load.
 */
export const IMMEDIATE_MILLISECONDS = 800;

/** Part of the rule's slack and of its excess that leases may use up. */
const SLACK_SHARE_OF_LEASES = 0.7;
const EXCESS_SHARE_OF_LEASES = 0.4;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * The most that all issuers of a team together may have unissued or leased and
 * not lapsed. In any window at most this much is used beyond the rate, however
 * long leases last. It exceeds the burst, because tokens count as leased until
 * their lease lapses, although most have been used before.
 */
export function quotaCapacity(
  {ratePerSecond, burst, slack}: QuotaLimits,
  {windowMilliseconds, overShare}: QuotaRule,
): number {
  const windowQuota =
    (ratePerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND + burst;
  const excess = Math.min(
    (ratePerSecond * IMMEDIATE_MILLISECONDS) / MILLISECONDS_PER_SECOND,
    EXCESS_SHARE_OF_LEASES * overShare * windowQuota,
  );
  return burst + excess + SLACK_SHARE_OF_LEASES * slack;
}
