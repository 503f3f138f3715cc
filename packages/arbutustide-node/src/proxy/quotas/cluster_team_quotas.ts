import type {RefusalError} from '@arbutustide/errors';
import type {
  LeaseQuotaRequest,
  LeaseQuotaResponseFields,
  PeerTransport,
} from '@arbutustide/membership';
import type {
  QuotaClaim,
  QuotaEvent,
  QuotaGrant,
  QuotaIssuerAddress,
  QuotaRule,
} from '@arbutustide/quotas';
import type {GateAdmission, RoutedRequest} from '@arbutustide/routing';
import type {TeamQuotas} from '@arbutustide/teams';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {ConfiguredLimits} from './configured_limits.js';
import type {QuotaMembership} from './quota_membership.js';

import {QuotaClient, QuotaIssuer} from '@arbutustide/quotas';
import {Ok} from 'ts-results';

import {
  decodeClaims,
  decodeGrants,
  encodeClaims,
  encodeGrants,
} from './quota_messages.js';

/**
 * Interval of updates while no team has a quota. What vanished before one is
 * configured must be known then, and a longer interval would look like a pause
 * in which others replaced this node as an issuer.
 */
const IDLE_UPDATE_MILLISECONDS = 1_000;

/** Dependencies of the quotas of teams. */
export interface ClusterTeamQuotasOptions {
  /** Identity of this node. */
  readonly identity: string;
  readonly rule: QuotaRule;
  readonly limits: ConfiguredLimits;
  readonly membership: QuotaMembership;
  readonly countNodes: () => number;
  readonly transport: Pick<PeerTransport, 'leaseQuota'>;
  readonly onEvent: (team: string, event: QuotaEvent, amount: number) => void;
  /** Drift between the clocks that does not count as a suspension. */
  readonly suspensionToleranceMilliseconds: number;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/** Quotas of teams that hold over all nodes together. */
export class ClusterTeamQuotas implements TeamQuotas {
  private readonly issuer: QuotaIssuer;
  private readonly client: QuotaClient;
  private updatedAtMilliseconds = -Infinity;

  constructor(private readonly options: ClusterTeamQuotasOptions) {
    const {limits, membership} = options;
    const limitsOf = (team: string) => limits.limitsOf(team);
    this.issuer = new QuotaIssuer({
      rule: options.rule,
      standingOf: team => membership.standingOf(team),
      limitsOf,
    });
    this.client = new QuotaClient({
      ...options,
      limitsOf,
      listIssuers: team => membership.listIssuers(team),
      call: (issuer, claims) => this.call(issuer, claims),
    });
  }

  async take(
    request: RoutedRequest,
  ): Promise<Result<GateAdmission, RefusalError>> {
    const cost = this.options.limits.costOf(request);
    if (!request.team || cost === 0) return Ok({giveBack: () => {}});
    return this.client.take(request.team.name, cost);
  }

  /** Answers the claims of a peer. */
  handleClaims(request: LeaseQuotaRequest): LeaseQuotaResponseFields {
    const grants = this.issuer.handle(request.node, decodeClaims(request));
    return encodeGrants(grants);
  }

  /** Applies changes of membership; called at short intervals. */
  update(): void {
    const {limits, membership} = this.options;
    const now = performance.now();
    const age = now - this.updatedAtMilliseconds;
    if (!limits.hasQuotas() && age < IDLE_UPDATE_MILLISECONDS) return;
    this.updatedAtMilliseconds = now;
    membership.update();
  }

  /** Gives all unused leases back, for a node that stops. */
  release(): Promise<void> {
    return this.client.release();
  }

  private async call(
    issuer: QuotaIssuerAddress,
    claims: readonly QuotaClaim[],
  ): Promise<readonly QuotaGrant[] | undefined> {
    const {identity, transport, logger} = this.options;
    if (issuer.identity === identity)
      return this.issuer.handle(identity, claims);
    const answer = await transport.leaseQuota(
      issuer.peerUrl,
      encodeClaims(identity, claims),
    );
    if (answer.ok) return decodeGrants(answer.val);
    logger.info(
      {issuer: issuer.identity, reason: answer.val.message},
      'got no answer to a claim on quotas',
    );
    return undefined;
  }
}
