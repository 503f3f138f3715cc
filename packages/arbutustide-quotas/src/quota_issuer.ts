import type {QuotaClaim, QuotaGrant} from './quota_messages.js';
import type {QuotaLimits, QuotaRule} from './quota_limits.js';

import {quotaCapacity} from './quota_limits.js';
import {QuotaLedger} from './quota_ledger.js';

/** This node's standing as an issuer of one team's quota. */
export interface IssuerStanding {
  /** Number of issuers that share the team's quota. */
  readonly issuerCount: number;
  /** Share of all nodes that this part of the cluster has, from 0 to 1. */
  readonly reachableShare: number;
  /**
   * Time from which this node may issue. If it changes, the node was not the
   * issuer all the time, and its ledger begins anew.
   */
  readonly opensAtMilliseconds: number;
}

/** Dependencies of an issuer. */
export interface QuotaIssuerOptions {
  readonly rule: QuotaRule;
  /** Undefined if this node does not issue the team's quota. */
  readonly standingOf: (team: string) => IssuerStanding | undefined;
  /** The limit in this node's configuration; undefined if it has none. */
  readonly limitsOf: (team: string) => QuotaLimits | undefined;
}

interface OpenLedger {
  readonly ledger: QuotaLedger;
  readonly opensAtMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Issues this node's part of the quotas of teams. */
export class QuotaIssuer {
  private readonly ledgers = new Map<string, OpenLedger>();

  constructor(private readonly options: QuotaIssuerOptions) {}

  /**
   * Answers the claims of a node, in their order.
   *
   * @param node identity of the node.
   */
  handle(node: string, claims: readonly QuotaClaim[]): QuotaGrant[] {
    return claims.map(claim => this.handleClaim(node, claim));
  }

  private handleClaim(node: string, claim: QuotaClaim): QuotaGrant {
    const {team} = claim;
    const standing = this.options.standingOf(team);
    if (!standing) {
      this.ledgers.delete(team);
      return refuseForeignTeam(team);
    }
    const {issuerCount, reachableShare, opensAtMilliseconds} = standing;
    const limits = this.newerLimits(claim);
    const share = reachableShare / issuerCount;
    const grant = this.findLedger(team, opensAtMilliseconds).claim(
      node,
      claim,
      {
        capacity: quotaCapacity(limits, this.options.rule) * share,
        unitsPerMillisecond:
          (limits.ratePerSecond * share) / MILLISECONDS_PER_SECOND,
      },
    );
    return {team, isIssuer: true, ...grant};
  }

  private findLedger(team: string, opensAtMilliseconds: number): QuotaLedger {
    const existing = this.ledgers.get(team);
    if (existing?.opensAtMilliseconds === opensAtMilliseconds)
      return existing.ledger;
    const ledger = new QuotaLedger(opensAtMilliseconds);
    this.ledgers.set(team, {ledger, opensAtMilliseconds});
    return ledger;
  }

  /** A node that is ahead of this one tells it the new limit. */
  private newerLimits({
    team,
    ratePerSecond,
    burst,
    configurationVersion: version,
  }: QuotaClaim): QuotaLimits {
    const own = this.options.limitsOf(team);
    if (own && own.version >= version) return own;
    return {ratePerSecond, burst, slack: own?.slack ?? 0, version};
  }
}

function refuseForeignTeam(team: string): QuotaGrant {
  return {
    team,
    isIssuer: false,
    granted: 0,
    validMilliseconds: 0,
    retryAfterMilliseconds: 0,
  };
}
