import type {ServingConfiguration} from '@arbutustide/routing';

import {QuotaUnit} from '@arbutustide/routing';

/** A team's limit and its usual use. */
export interface SimulatedTeam {
  readonly name: string;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** A configuration of which only version and teams are used. */
export function createQuotaConfiguration(
  version: number,
  teams: readonly SimulatedTeam[],
): ServingConfiguration {
  return {
    version,
    teams: teams.map(({name, ratePerSecond, burst}) => ({
      name,
      apiKeys: [],
      priority: undefined,
      quota: {unit: QuotaUnit.TOKENS, ratePerSecond, burst, plainTokens: 100},
    })),
  } as unknown as ServingConfiguration;
}
