/** The upstreams in, or out of, a failure domain that hold what is requested. */
export interface DomainCapacity {
  /** Requests at which its upstreams are full, over all of them. */
  readonly slots: number;
  /** Factor on the usual time of a request, weighted by slots. */
  readonly workTimeFactor: number;
  /**
   * Requests in flight, wherever they were sent, that came in at the nodes of
   * this side. The decision does not change it, although the counts are seconds
   * old when they are used.
   */
  readonly demand: number;
}

/** What the decision to leave a failure domain depends on. */
export interface LeavingInput {
  /** Undefined if no upstream of the domain holds it. */
  readonly local: DomainCapacity | undefined;
  /** Undefined if no upstream of another domain holds it. */
  readonly elsewhere: DomainCapacity | undefined;
  /** Two one-way delays, in milliseconds. */
  readonly extraPathMilliseconds: number;
  /** Time that a request takes at an upstream, in milliseconds. */
  readonly requestMilliseconds: number;
  /**
   * Price of the bytes of a request and its answer, as the share of its time by
   * which it may be served later to save them.
   */
  readonly priceShare: number;
}

/** Whether requests leave the failure domain, and how many. */
export interface LeavingDecision {
  /**
   * By how much a request must be served sooner elsewhere to leave, as a share
   * of its time.
   */
  readonly penaltyShare: number;
  /** Share of the domain's requests that leave it, from 0 to 1. */
  readonly leavingShare: number;
}

/** Keeps single requests on an idle service from deciding for all or none. */
const DEMAND_OFFSET = 1;

/**
 * Decides to send as many requests to other domains as make the expected times
 * equal, path and price included. All inputs are what the nodes of a domain see
 * alike, and nothing is remembered, so that they come to the same decision
 * without asking each other.
 */
export function decideLeaving({
  local,
  elsewhere,
  extraPathMilliseconds,
  requestMilliseconds,
  priceShare,
}: LeavingInput): LeavingDecision {
  const penaltyShare = priceShare + extraPathMilliseconds / requestMilliseconds;
  if (!elsewhere) return {penaltyShare, leavingShare: 0};
  if (!local) return {penaltyShare, leavingShare: 1};
  const gain = expectedTime(local) - expectedTime(elsewhere) - penaltyShare;
  const gainLostPerRequest =
    local.workTimeFactor / local.slots +
    elsewhere.workTimeFactor / elsewhere.slots;
  const leaving = gain / gainLostPerRequest / (local.demand + DEMAND_OFFSET);
  return {penaltyShare, leavingShare: Math.min(1, Math.max(0, leaving))};
}

/**
 * Time of a request if the side served its own demand, relative to that at an
 * idle upstream; it doubles until all slots are taken.
 */
function expectedTime({slots, demand, workTimeFactor}: DomainCapacity): number {
  return workTimeFactor * (1 + demand / slots);
}
