import type {Result} from 'ts-results';

import type {CallIssuer, QuotaIssuerAddress} from './issuer_calls.js';
import type {QuotaClaim, QuotaGrant} from './quota_messages.js';
import type {QuotaLimits} from './quota_limits.js';
import type {Lease, TakenUnits} from './team_leases.js';
import type {WaitingRequest} from './waiting_request.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {ClaimWait, waitAtMost} from './claim_wait.js';
import {ANSWER_MILLISECONDS, IssuerCalls} from './issuer_calls.js';
import {IMMEDIATE_MILLISECONDS} from './quota_limits.js';
import {PauseMeter} from './pause_meter.js';
import {isOdd} from './is_odd.js';
import {isValid, takeUnits, TeamLeases} from './team_leases.js';
import {sumOfValid} from './waiting_request.js';

/** What happens to the units of a team's quota at this node. */
export enum QuotaEvent {
  /** Units taken for requests. */
  USED = 'used',
  /** Units that issuers granted. */
  LEASED = 'leased',
  /** Units given back, by requests that did not run or to issuers. */
  RETURNED = 'returned',
  /** Refused requests, not units. */
  REFUSED = 'refused',
}

/** Dependencies of the leases of a node. */
export interface QuotaClientOptions {
  /** Identity of this node. */
  readonly identity: string;
  /** The nodes that issue the team's quota. */
  readonly listIssuers: (team: string) => readonly QuotaIssuerAddress[];
  readonly countNodes: () => number;
  /** Undefined if the team has no limit. */
  readonly limitsOf: (team: string) => QuotaLimits | undefined;
  readonly call: CallIssuer;
  /** Drift between the clocks that does not count as a suspension. */
  readonly suspensionToleranceMilliseconds: number;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly onEvent: (team: string, event: QuotaEvent, amount: number) => void;
}

/** What an admitted request has taken. */
export interface QuotaAdmission {
  /** Gives it back if the request has certainly not run. */
  giveBack(): void;
}

/** A grant, and the part of it that is for the waiting request. */
interface ReceivedGrant extends QuotaGrant {
  readonly forRequest: Lease;
}

/**
 * Time for which an issuer that was short is not asked again, for each node of
 * the cluster: a team over its quota costs its issuer at most 100 calls a
 * second.
 */
const SHORTAGE_PER_NODE_MILLISECONDS = 10;
const SHORTEST_SHORTAGE_MILLISECONDS = 50;
const LONGEST_SHORTAGE_MILLISECONDS = 1_000;
/** Time until a request may be retried if no issuer answered. */
const UNANSWERED_RETRY_MILLISECONDS = 2_000;
/** Retries are spread over this share of the time that callers are told. */
const RETRY_JITTER = 0.5;

/**
 * Takes what requests cost from leases that issuers grant. Nothing is sent
 * while nobody calls: a request finds a lease, or waits for a call, and renews
 * the lease for those after it.
 */
export class QuotaClient {
  private readonly leasesByTeam = new Map<string, TeamLeases>();
  private readonly pauseMeter = new PauseMeter();
  private readonly calls: IssuerCalls;
  /** Number of suspensions; what was granted before the latest is void. */
  private suspensions = 0;
  private isReleased = false;

  constructor(private readonly options: QuotaClientOptions) {
    this.calls = new IssuerCalls(options.call);
  }

  /** Takes units for a request, or says after what time there are enough. */
  async take(
    team: string,
    cost: number,
  ): Promise<Result<QuotaAdmission, RefusalError>> {
    const {limitsOf, onEvent} = this.options;
    if (!limitsOf(team)) return Ok({giveBack: () => {}});
    this.dropLeasesAfterSuspension();
    const leases = this.leasesOf(team);
    leases.recordDemand(cost);
    const held = leases.tryTake(cost);
    if (held) {
      this.renewIfDue(team, leases);
      return Ok(this.admit(team, cost, leases, held));
    }
    const request: WaitingRequest = {
      team,
      cost,
      leases,
      granted: leases.removeLasting(),
      suspensions: this.suspensions,
      taken: undefined,
      isDone: false,
      retryMilliseconds: [],
      wait: new ClaimWait(),
    };
    await this.claimFor(request);
    if (request.taken) return Ok(this.admit(team, cost, leases, request.taken));
    onEvent(team, QuotaEvent.REFUSED, 1);
    return Err(this.refuse(request));
  }

  /**
   * Gives all unused units back, and leases none ahead from now on. For a node
   * that stops.
   */
  async release(): Promise<void> {
    this.isReleased = true;
    const {listIssuers, onEvent} = this.options;
    const returns: Promise<unknown>[] = [];
    for (const [team, leases] of this.leasesByTeam) {
      for (const issuer of listIssuers(team)) {
        const returned = leases.removeUnitsOf(issuer.identity);
        const claim = this.createClaim(team, {returned});
        if (!claim || returned === 0) continue;
        onEvent(team, QuotaEvent.RETURNED, returned);
        returns.push(this.calls.send(issuer, claim, () => {}));
      }
    }
    await waitAtMost(ANSWER_MILLISECONDS, [Promise.all(returns)]);
  }

  private leasesOf(team: string): TeamLeases {
    let leases = this.leasesByTeam.get(team);
    if (!leases) {
      leases = new TeamLeases();
      this.leasesByTeam.set(team, leases);
    }
    return leases;
  }

  private admit(
    team: string,
    cost: number,
    leases: TeamLeases,
    taken: TakenUnits,
  ): QuotaAdmission {
    const {onEvent} = this.options;
    const {suspensions} = this;
    onEvent(team, QuotaEvent.USED, cost);
    return {
      giveBack: () => {
        this.dropLeasesAfterSuspension();
        if (suspensions !== this.suspensions) return;
        const returned = leases.giveBack(taken);
        if (returned > 0) onEvent(team, QuotaEvent.RETURNED, returned);
      },
    };
  }

  /** Asks one issuer, and the next if that is short, slow or silent. */
  private async claimFor(request: WaitingRequest): Promise<void> {
    const {team, cost, leases, retryMilliseconds, wait} = request;
    const issuers = this.orderIssuers(team);
    for (const issuer of issuers) {
      const shortFor = leases.shortMilliseconds(issuer.identity, cost);
      if (shortFor !== undefined) retryMilliseconds.push(shortFor);
      if (shortFor !== undefined || !this.calls.isRetryDue(issuer)) continue;
      if (this.calls.isSilent(issuer) && retryMilliseconds.length > 0) {
        this.probe(team, issuer);
        continue;
      }
      await this.claimFrom(issuer, request);
      if (request.taken) break;
    }
    const isUnknown = !wait.hasClaims && retryMilliseconds.length === 0;
    if (isUnknown && issuers.length > 0)
      await this.claimFrom(issuers[0], request);
    if (!request.taken) await wait.forAll();
    request.isDone = true;
    this.dropGrantsAfterSuspension(request);
    for (const lease of request.granted) if (isValid(lease)) leases.add(lease);
  }

  /** Claims what a request lacks, and waits until another is to be asked. */
  private async claimFrom(
    issuer: QuotaIssuerAddress,
    request: WaitingRequest,
  ): Promise<void> {
    const {team, cost} = request;
    this.dropGrantsAfterSuspension(request);
    const needed = cost - sumOfValid(request.granted);
    const claim = this.createClaim(team, {needed});
    if (!claim) return;
    const answered = this.send(issuer, claim, grant =>
      this.receive(request, issuer, grant),
    );
    this.renewOthers(team, issuer);
    await request.wait.forAnswer(answered);
  }

  /** Gives a request what was granted for it, if it is enough. */
  private receive(
    request: WaitingRequest,
    {identity}: QuotaIssuerAddress,
    {forRequest, isIssuer, retryAfterMilliseconds}: ReceivedGrant,
  ): void {
    const {cost, leases, retryMilliseconds} = request;
    if (request.isDone) {
      if (isValid(forRequest)) leases.add(forRequest);
      return;
    }
    this.dropGrantsAfterSuspension(request);
    request.granted.push(forRequest);
    request.taken ??=
      sumOfValid(request.granted) >= cost
        ? takeUnits(request.granted.filter(isValid), cost)
        : leases.tryTake(cost);
    if (request.taken) request.wait.end();
    if (request.taken || !isIssuer) return;
    retryMilliseconds.push(retryAfterMilliseconds);
    leases.recordShortage(
      identity,
      cost,
      this.shortageMilliseconds(retryAfterMilliseconds),
      retryAfterMilliseconds,
    );
  }

  /**
   * Sends a claim. What is granted ahead is kept; what was granted for the
   * request goes to the listener, unless the process was suspended meanwhile.
   */
  private send(
    issuer: QuotaIssuerAddress,
    claim: QuotaClaim,
    onGrant: (grant: ReceivedGrant) => void,
  ): Promise<boolean> {
    const {team, needed} = claim;
    const {suspensions} = this;
    return this.calls.send(issuer, claim, (grant, sentAt) => {
      this.dropLeasesAfterSuspension();
      if (suspensions !== this.suspensions) return;
      const {granted, validMilliseconds} = grant;
      this.options.onEvent(team, QuotaEvent.LEASED, granted);
      const forRequest: Lease = {
        units: Math.min(needed, granted),
        lapsesAtMilliseconds: sentAt + IMMEDIATE_MILLISECONDS,
        issuer: issuer.identity,
      };
      this.leasesOf(team).add({
        units: granted - forRequest.units,
        lapsesAtMilliseconds: sentAt + validMilliseconds,
        issuer: issuer.identity,
      });
      onGrant({...grant, forRequest});
    });
  }

  private renewIfDue(team: string, leases: TeamLeases): void {
    if (this.isReleased || !leases.isRenewalDue) return;
    const issuer = this.orderIssuers(team).find(
      ({identity}) =>
        leases.shortMilliseconds(identity, Infinity) === undefined,
    );
    if (issuer && !this.calls.isSlow(issuer)) this.renew(team, issuer, leases);
  }

  /** Lets renewals for other teams join a call that is about to be made. */
  private renewOthers(team: string, issuer: QuotaIssuerAddress): void {
    if (this.isReleased) return;
    for (const [other, leases] of this.leasesByTeam) {
      if (other === team || !leases.isRenewalDue) continue;
      const [preferred] = this.orderIssuers(other);
      if (preferred?.identity === issuer.identity)
        this.renew(other, issuer, leases);
    }
  }

  private renew(
    team: string,
    issuer: QuotaIssuerAddress,
    leases: TeamLeases,
  ): void {
    const claim = this.createClaim(team, {needed: 0});
    if (!claim) return;
    leases.beginRenewal();
    let wasGranted = false;
    const answered = this.send(issuer, claim, ({granted}) => {
      wasGranted = granted > 0;
    });
    void waitAtMost(ANSWER_MILLISECONDS, [answered]).then(() =>
      leases.endRenewal(wasGranted),
    );
  }

  /** Finds out, without anyone waiting, whether a silent issuer answers. */
  private probe(team: string, issuer: QuotaIssuerAddress): void {
    const claim = this.createClaim(team, {});
    if (claim) void this.calls.send(issuer, claim, () => {});
  }

  /** Undefined if the team has no limit any more. */
  private createClaim(
    team: string,
    {needed, returned = 0}: {needed?: number; returned?: number},
  ): QuotaClaim | undefined {
    const limits = this.options.limitsOf(team);
    if (!limits) return undefined;
    const ahead =
      needed === undefined || this.isReleased
        ? 0
        : this.leasesOf(team).unitsToLease;
    const {ratePerSecond, burst, version} = limits;
    return {
      team,
      wanted: (needed ?? 0) + ahead,
      needed: needed ?? 0,
      returned,
      ratePerSecond,
      burst,
      configurationVersion: version,
    };
  }

  /**
   * The issuers of a team in the order in which to ask them: this node itself,
   * then those that answer. The others differ in order between nodes, so that
   * the issuers share the calls.
   */
  private orderIssuers(team: string): QuotaIssuerAddress[] {
    const {identity, listIssuers} = this.options;
    const issuers = [...listIssuers(team)].sort((left, right) =>
      left.identity < right.identity ? -1 : 1,
    );
    if (isOdd(identity) !== isOdd(team)) issuers.reverse();
    const rank = (issuer: QuotaIssuerAddress) =>
      Number(this.calls.isSlow(issuer)) * 2 +
      Number(issuer.identity !== identity);
    return issuers.sort((left, right) => rank(left) - rank(right));
  }

  private shortageMilliseconds(retryMilliseconds: number): number {
    const longest = Math.min(
      LONGEST_SHORTAGE_MILLISECONDS,
      this.options.countNodes() * SHORTAGE_PER_NODE_MILLISECONDS,
      retryMilliseconds,
    );
    return Math.max(SHORTEST_SHORTAGE_MILLISECONDS, longest);
  }

  private refuse({team, retryMilliseconds}: WaitingRequest): RefusalError {
    const isAnswered = retryMilliseconds.length > 0;
    const earliest = isAnswered
      ? Math.min(...retryMilliseconds)
      : UNANSWERED_RETRY_MILLISECONDS;
    const jitter = 1 + RETRY_JITTER * this.options.random();
    return new RefusalError(
      ErrorKind.QUOTA_EXCEEDED,
      isAnswered
        ? `the quota of team ${team} is used up`
        : `no issuer of the quota of team ${team} answers`,
      {retryAfterMilliseconds: earliest * jitter},
    );
  }

  private dropGrantsAfterSuspension(request: WaitingRequest): void {
    this.dropLeasesAfterSuspension();
    if (request.suspensions === this.suspensions) return;
    request.suspensions = this.suspensions;
    request.granted = [];
  }

  private dropLeasesAfterSuspension(): void {
    const {driftMilliseconds} = this.pauseMeter.read();
    const {suspensionToleranceMilliseconds} = this.options;
    if (Math.abs(driftMilliseconds) <= suspensionToleranceMilliseconds) return;
    this.suspensions += 1;
    for (const leases of this.leasesByTeam.values()) leases.drop();
  }
}
