import type {QuotaClaim} from './quota_messages.js';

import {IMMEDIATE_MILLISECONDS} from './quota_limits.js';

/** An issuer's part of a team's quota. */
export interface LedgerTerms {
  /** Most units that may be unissued or leased at a time. */
  readonly capacity: number;
  readonly unitsPerMillisecond: number;
}

/** What a ledger issues for one claim. */
export interface LedgerGrant {
  readonly granted: number;
  readonly validMilliseconds: number;
  readonly retryAfterMilliseconds: number;
}

/** Units that a node may still be using. */
interface LeasedUnits {
  readonly node: string;
  units: number;
  readonly lapsesAtMilliseconds: number;
}

/** Life of a lease while nothing and while everything is left unissued. */
const SHORTEST_LEASE_MILLISECONDS = 200;
const LONGEST_LEASE_MILLISECONDS = 2_000;
/** Unissued share of the capacity below which no units are leased ahead. */
const RESERVE_SHARE = 0.25;
/** Part of what is above the reserve that one claim may lease ahead. */
const AHEAD_SHARE = 0.5;
/** Lapsed leases are dropped at most this often. */
const SWEEP_MILLISECONDS = 20;
/** Callers that are told to come back later would rather be told again. */
const LONGEST_RETRY_MILLISECONDS = 8_000;

/**
 * One issuer's account of one team: a token bucket whose unissued and leased
 * units together never exceed the capacity. What is used in a window was
 * issued in it, or was leased when it began, so it is at most the capacity and
 * what the rate adds, whatever nodes do with their leases.
 */
export class QuotaLedger {
  private unissued = 0;
  private leases: LeasedUnits[] = [];
  private leasedUnits = 0;
  private nextLapseAtMilliseconds = Infinity;
  private sweptAtMilliseconds = -Infinity;
  /** Units that refused requests will ask for again. */
  private refusedUnits = 0;

  /** @param updatedAtMilliseconds time from which the bucket fills. */
  constructor(private updatedAtMilliseconds: number) {}

  /** Issues units for a claim of a node. */
  claim(
    node: string,
    {
      wanted,
      needed,
      returned,
    }: Pick<QuotaClaim, 'wanted' | 'needed' | 'returned'>,
    terms: LedgerTerms,
  ): LedgerGrant {
    const now = performance.now();
    this.dropLapsed(now);
    this.takeBack(node, returned);
    this.fill(now, terms);
    const forRequest = this.unitsForRequest(needed, terms);
    this.lease(node, forRequest, now + IMMEDIATE_MILLISECONDS);
    if (forRequest < needed) {
      return {
        granted: forRequest,
        validMilliseconds: IMMEDIATE_MILLISECONDS,
        retryAfterMilliseconds: this.refuse(needed - forRequest, now, terms),
      };
    }
    const aboveReserve = this.unissued - RESERVE_SHARE * terms.capacity;
    const ahead = Math.min(
      Math.max(0, wanted - needed),
      Math.max(0, aboveReserve * AHEAD_SHARE),
    );
    const validMilliseconds = leaseMilliseconds(
      (this.unissued - ahead) / terms.capacity,
    );
    this.lease(node, ahead, now + validMilliseconds);
    return {
      granted: forRequest + ahead,
      validMilliseconds,
      retryAfterMilliseconds: 0,
    };
  }

  /** All or nothing, unless this issuer alone can never grant all. */
  private unitsForRequest(needed: number, {capacity}: LedgerTerms): number {
    if (needed <= this.unissued) return needed;
    return needed > capacity ? Math.max(0, this.unissued) : 0;
  }

  private lease(node: string, units: number, lapsesAt: number): void {
    if (units <= 0) return;
    this.unissued -= units;
    this.leasedUnits += units;
    this.leases.push({node, units, lapsesAtMilliseconds: lapsesAt});
    this.nextLapseAtMilliseconds = Math.min(
      this.nextLapseAtMilliseconds,
      lapsesAt,
    );
  }

  /** Adds what the rate yields since the last claim, up to the capacity. */
  private fill(
    now: number,
    {capacity, unitsPerMillisecond}: LedgerTerms,
  ): void {
    const elapsed = Math.max(0, now - this.updatedAtMilliseconds);
    const filled = elapsed * unitsPerMillisecond;
    this.updatedAtMilliseconds += elapsed;
    this.refusedUnits = Math.max(0, this.refusedUnits - filled);
    this.unissued = Math.min(
      this.unissued + filled,
      capacity - this.leasedUnits,
    );
  }

  /**
   * Time until units for a refused request are there, if all that were refused
   * before it come back first.
   */
  private refuse(
    lacking: number,
    now: number,
    {unitsPerMillisecond}: LedgerTerms,
  ): number {
    const ahead = lacking - this.unissued + this.refusedUnits;
    const opensIn = Math.max(0, this.updatedAtMilliseconds - now);
    const wait = opensIn + Math.max(0, ahead) / unitsPerMillisecond;
    this.refusedUnits = Math.min(
      this.refusedUnits + lacking,
      LONGEST_RETRY_MILLISECONDS * unitsPerMillisecond,
    );
    return Math.min(wait, LONGEST_RETRY_MILLISECONDS);
  }

  /** Units of leases that have lapsed, or of an earlier issuer, do not count. */
  private takeBack(node: string, returned: number): void {
    let remaining = returned;
    for (const lease of this.leases) {
      if (remaining <= 0) return;
      if (lease.node !== node) continue;
      const units = Math.min(lease.units, remaining);
      lease.units -= units;
      remaining -= units;
      this.leasedUnits -= units;
      this.unissued += units;
    }
  }

  private dropLapsed(now: number): void {
    if (now < this.nextLapseAtMilliseconds) return;
    if (now - this.sweptAtMilliseconds < SWEEP_MILLISECONDS) return;
    this.sweptAtMilliseconds = now;
    this.leases = this.leases.filter(
      ({lapsesAtMilliseconds}) => lapsesAtMilliseconds > now,
    );
    this.leasedUnits = 0;
    this.nextLapseAtMilliseconds = Infinity;
    for (const {units, lapsesAtMilliseconds} of this.leases) {
      this.leasedUnits += units;
      this.nextLapseAtMilliseconds = Math.min(
        this.nextLapseAtMilliseconds,
        lapsesAtMilliseconds,
      );
    }
  }
}

/** The more is unissued, the longer a lease may lie unused. */
function leaseMilliseconds(unissuedShare: number): number {
  const span = LONGEST_LEASE_MILLISECONDS - SHORTEST_LEASE_MILLISECONDS;
  const share = Math.min(1, Math.max(0, unissuedShare));
  return SHORTEST_LEASE_MILLISECONDS + span * share;
}
