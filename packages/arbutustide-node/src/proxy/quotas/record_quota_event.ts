import type {NodeMetrics} from '@arbutustide/telemetry';

import {QuotaEvent} from '@arbutustide/quotas';

type Recorder = (metrics: NodeMetrics, team: string, amount: number) => void;

const RECORDERS: Readonly<Record<QuotaEvent, Recorder>> = {
  [QuotaEvent.USED]: recordUnits(QuotaEvent.USED),
  [QuotaEvent.LEASED]: recordUnits(QuotaEvent.LEASED),
  [QuotaEvent.RETURNED]: recordUnits(QuotaEvent.RETURNED),
  [QuotaEvent.REFUSED]: ({quotaRefusals}, team, amount) =>
    quotaRefusals.inc({team}, amount),
};

/**
 * Counts what happens to the quota of a team. Only teams of the configuration
 * have quotas, so the labels are bounded in number.
 *
 * @param amount units; for refusals, requests.
 */
export function recordQuotaEvent(
  metrics: NodeMetrics,
  team: string,
  event: QuotaEvent,
  amount: number,
): void {
  RECORDERS[event](metrics, team, amount);
}

function recordUnits(event: QuotaEvent): Recorder {
  return ({quotaUnits}, team, amount) => quotaUnits.inc({team, event}, amount);
}
