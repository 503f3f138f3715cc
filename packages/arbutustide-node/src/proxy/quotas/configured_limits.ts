import type {QuotaLimits, QuotaRule} from '@arbutustide/quotas';
import type {
  RoutedRequest,
  ServingConfiguration,
  TeamQuota,
} from '@arbutustide/routing';

import {QuotaUnit} from '@arbutustide/routing';

/** Calculates what a request costs. */
type CostRule = (request: RoutedRequest, quota: TeamQuota) => number;

/**
 * The rule's slack is for tokens. Quotas in requests get one request for each
 * issuer, as none could issue a first one otherwise if the limit is low.
 */
const REQUEST_SLACK = 4;

const COST_RULES: Readonly<Record<QuotaUnit, CostRule>> = {
  [QuotaUnit.REQUESTS]: () => 1,
  [QuotaUnit.TOKENS]: ({modelRequest}, {plainTokens}) =>
    modelRequest
      ? modelRequest.promptTokens + modelRequest.maximumOutputTokens
      : plainTokens,
};

const SLACKS: Readonly<Record<QuotaUnit, (rule: QuotaRule) => number>> = {
  [QuotaUnit.REQUESTS]: ({slack}) => Math.min(slack, REQUEST_SLACK),
  [QuotaUnit.TOKENS]: ({slack}) => slack,
};

/** The quotas of the teams in the configuration in force. */
export class ConfiguredLimits {
  private configuration: ServingConfiguration | undefined;
  private quotaByTeam: ReadonlyMap<string, TeamQuota> = new Map();

  constructor(
    private readonly getConfiguration: () => ServingConfiguration | undefined,
    private readonly rule: QuotaRule,
  ) {}

  /** The limit of a team; undefined if it has none. */
  limitsOf(team: string): QuotaLimits | undefined {
    const quota = this.findQuota(team);
    if (!quota) return undefined;
    const {unit, ratePerSecond, burst} = quota;
    return {
      ratePerSecond,
      burst,
      slack: SLACKS[unit](this.rule),
      version: this.configuration?.version ?? 0,
    };
  }

  /** What a request costs its team, in the unit of the team's quota. */
  costOf(request: RoutedRequest): number {
    const quota = request.team && this.findQuota(request.team.name);
    return quota ? COST_RULES[quota.unit](request, quota) : 0;
  }

  /** Whether any team has a limit. */
  hasQuotas(): boolean {
    this.readConfiguration();
    return this.quotaByTeam.size > 0;
  }

  private findQuota(team: string): TeamQuota | undefined {
    this.readConfiguration();
    return this.quotaByTeam.get(team);
  }

  private readConfiguration(): void {
    const configuration = this.getConfiguration();
    if (configuration === this.configuration) return;
    this.configuration = configuration;
    this.quotaByTeam = new Map(listQuotas(configuration));
  }
}

function* listQuotas(
  configuration: ServingConfiguration | undefined,
): Generator<readonly [string, TeamQuota]> {
  for (const {name, quota} of configuration?.teams ?? [])
    if (quota && quota.ratePerSecond > 0) yield [name, quota];
}
