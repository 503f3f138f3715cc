/** Units that may be used until a time. */
export interface Lease {
  units: number;
  readonly lapsesAtMilliseconds: number;
  /** Identity of the node that issued them. */
  readonly issuer: string;
}

/** Units that were taken for one request, with the leases they are from. */
export type TakenUnits = readonly {
  readonly lease: Lease;
  readonly units: number;
}[];

/** An issuer that had too few units for a cost. */
interface Shortage {
  readonly cost: number;
  readonly untilMilliseconds: number;
  readonly retryAtMilliseconds: number;
}

/** Time constant of the measured demand. */
const DEMAND_MILLISECONDS = 1_000;
/** Use for which a lease is asked ahead. */
const AHEAD_MILLISECONDS = 1_000;
/** A node with fewer requests per second would leave most of a lease unused. */
const LEAST_REQUESTS_PER_SECOND = 4;
/** A lease that lapses sooner is renewed; some calls fit into this time. */
const RENEWAL_MILLISECONDS = 60;
/** Time until a renewal that granted nothing is tried again. */
const RENEWAL_PAUSE_MILLISECONDS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

/** One node's leases on the quota of one team, and its demand. */
export class TeamLeases {
  private leases: Lease[] = [];
  private demandPerMillisecond = 0;
  private requestsPerMillisecond = 0;
  private demandAtMilliseconds = performance.now();
  private readonly shortageByIssuer = new Map<string, Shortage>();
  private isRenewing = false;
  private renewableAtMilliseconds = -Infinity;

  /** Counts a request for units, whether it gets them or not. */
  recordDemand(cost: number): void {
    this.decayDemand();
    this.demandPerMillisecond += cost / DEMAND_MILLISECONDS;
    this.requestsPerMillisecond += 1 / DEMAND_MILLISECONDS;
  }

  /** Units worth leasing ahead; zero while requests are rare. */
  get unitsToLease(): number {
    const expected = this.expectedUnits();
    return Math.max(0, expected - this.unitsLapsingAfter(RENEWAL_MILLISECONDS));
  }

  /** Whether the next requests may find no units, so that a renewal pays. */
  get isRenewalDue(): boolean {
    if (this.isRenewing || performance.now() < this.renewableAtMilliseconds)
      return false;
    const expected = this.expectedUnits();
    if (expected === 0) return false;
    const meanCost = this.demandPerMillisecond / this.requestsPerMillisecond;
    const untilRenewed = (expected * RENEWAL_MILLISECONDS) / AHEAD_MILLISECONDS;
    return (
      this.unitsLapsingAfter(RENEWAL_MILLISECONDS) <
      Math.max(untilRenewed, meanCost)
    );
  }

  beginRenewal(): void {
    this.isRenewing = true;
  }

  endRenewal(wasGranted: boolean): void {
    this.isRenewing = false;
    if (wasGranted) return;
    this.renewableAtMilliseconds =
      performance.now() + RENEWAL_PAUSE_MILLISECONDS;
  }

  add(lease: Lease): void {
    if (lease.units <= 0) return;
    this.leases.push(lease);
    this.leases.sort(
      (left, right) => left.lapsesAtMilliseconds - right.lapsesAtMilliseconds,
    );
  }

  /** Takes units of the leases that lapse first; undefined if too few. */
  tryTake(cost: number): TakenUnits | undefined {
    if (this.unitsLapsingAfter(0) < cost) return undefined;
    return takeUnits(this.leases, cost);
  }

  /** Removes the leases that outlast a call, for a request that lacks units. */
  removeLasting(): Lease[] {
    const lapsesAt = performance.now() + RENEWAL_MILLISECONDS;
    const isLasting = (lease: Lease) => lease.lapsesAtMilliseconds > lapsesAt;
    const lasting = this.leases.filter(isLasting);
    this.leases = this.leases.filter(lease => !isLasting(lease));
    return lasting;
  }

  /**
   * Gives back what a request took but did not use. What has lapsed is lost:
   * the issuer has counted it as used and has issued other units since.
   *
   * @return the units that can be used again.
   */
  giveBack(taken: TakenUnits): number {
    const now = performance.now();
    let returned = 0;
    for (const {lease, units} of taken) {
      if (lease.lapsesAtMilliseconds <= now) continue;
      this.add({...lease, units});
      returned += units;
    }
    return returned;
  }

  /** Drops all leases without giving them back. */
  drop(): void {
    this.leases = [];
  }

  /** Removes the unused units of an issuer, to give them back to it. */
  removeUnitsOf(issuer: string): number {
    const units = this.leases
      .filter(lease => lease.issuer === issuer && isValid(lease))
      .reduce((sum, lease) => sum + lease.units, 0);
    this.leases = this.leases.filter(lease => lease.issuer !== issuer);
    return units;
  }

  /**
   * Records that an issuer had too few units.
   *
   * @param pauseMilliseconds time for which it would be asked in vain.
   */
  recordShortage(
    issuer: string,
    cost: number,
    pauseMilliseconds: number,
    retryMilliseconds: number,
  ): void {
    const now = performance.now();
    this.shortageByIssuer.set(issuer, {
      cost,
      untilMilliseconds: now + pauseMilliseconds,
      retryAtMilliseconds: now + retryMilliseconds,
    });
  }

  /**
   * Time until an issuer may have enough for a cost that it would refuse now;
   * undefined if it may have enough already.
   */
  shortMilliseconds(issuer: string, cost: number): number | undefined {
    const shortage = this.shortageByIssuer.get(issuer);
    const now = performance.now();
    if (!shortage || cost < shortage.cost) return undefined;
    if (shortage.untilMilliseconds <= now) return undefined;
    return shortage.retryAtMilliseconds - now;
  }

  private expectedUnits(): number {
    this.decayDemand();
    const requestsPerSecond =
      this.requestsPerMillisecond * MILLISECONDS_PER_SECOND;
    if (requestsPerSecond < LEAST_REQUESTS_PER_SECOND) return 0;
    return this.demandPerMillisecond * AHEAD_MILLISECONDS;
  }

  /** Units that may still be used after a time from now. */
  private unitsLapsingAfter(milliseconds: number): number {
    const now = performance.now();
    while (this.leases.length > 0 && !isValid(this.leases[0]))
      this.leases.shift();
    return this.leases
      .filter(lease => lease.lapsesAtMilliseconds > now + milliseconds)
      .reduce((sum, {units}) => sum + units, 0);
  }

  private decayDemand(): void {
    const now = performance.now();
    const elapsed = now - this.demandAtMilliseconds;
    const factor = Math.exp(-elapsed / DEMAND_MILLISECONDS);
    this.demandPerMillisecond *= factor;
    this.requestsPerMillisecond *= factor;
    this.demandAtMilliseconds = now;
  }
}

/** Whether the units of a lease may be used now. */
export function isValid({lapsesAtMilliseconds}: Lease): boolean {
  return lapsesAtMilliseconds > performance.now();
}

/** Takes units of leases in their order; they must hold enough. */
export function takeUnits(leases: readonly Lease[], cost: number): TakenUnits {
  const taken: {lease: Lease; units: number}[] = [];
  let lacking = cost;
  for (const lease of leases) {
    const units = Math.min(lease.units, lacking);
    if (units <= 0) continue;
    lease.units -= units;
    lacking -= units;
    taken.push({lease, units});
  }
  return taken;
}
