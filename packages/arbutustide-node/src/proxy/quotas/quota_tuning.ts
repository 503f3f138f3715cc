import type {QuotaRule} from '@arbutustide/quotas';

/** Used where the settings name no rule. */
export const DEFAULT_QUOTA_RULE: QuotaRule = {
  windowMilliseconds: 8_000,
  overShare: 0.1,
  slack: 17_000,
};

/**
 * Nodes that vanished without announcing that they leave count as cut off for
 * this time, as quotas must hold as long as a partition lasts. After a silent
 * loss of hosts quotas are lower by their share until then.
 */
export const SHARE_RETENTION_MILLISECONDS = 3_600_000;

/**
 * Nodes assumed by a node that has never known another. More than a cluster
 * usually has, as all may be cut off from each other when they start.
 */
export const LONE_NODE_COUNT = 100;

/**
 * Time after the start for which seeds that are not known count as cut off.
 * Later they count as gone: settings may name hosts that no longer exist.
 */
export const SEED_MILLISECONDS = 600_000;
