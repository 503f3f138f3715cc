import type {ProxyUpstream} from '../proxy_upstream.js';

import {learnWorkTimes} from './learnt_work_time.js';

/** What the choice among upstreams that can take a request depends on. */
export interface PickSettings {
  readonly ownFailureDomain: string;
  /** Penalty of another failure domain, as a share of the slots. */
  readonly crossDomainShare: number;
  /** Utilization from which an upstream is full, as a share of its slots. */
  readonly fullShare: number;
  /** Nodes that send to the same upstreams, this one included; 1 if absent. */
  readonly senderCount?: number;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/**
 * An upstream that is nearly full by a stale estimate may have become free; it
 * keeps a small weight, in slots.
 */
const MINIMUM_FREE_SLOTS = 0.25;

interface Candidate {
  readonly upstream: ProxyUpstream;
  readonly cost: number;
  /** Free slots over the time that work takes. */
  readonly freeCapacity: number;
}

/**
 * Picks an upstream for a request. While all nodes together could send one
 * request each to the same upstream without filling it, that is the one with the
 * lowest expected time. With more nodes, all of them would send to it until its
 * reports arrive (the busiest engine got 3.28 times the mean at 35 nodes); then
 * two upstreams are drawn at random by free capacity, one of them in this failure
 * domain if possible, and the better one is taken.
 */
export function pickUpstream(
  eligible: readonly ProxyUpstream[],
  settings: PickSettings,
): ProxyUpstream | undefined {
  const isHerding = isHerdingLikely(eligible, settings);
  const learntFactor = isHerding ? learnWorkTimes(eligible) : () => 1;
  const candidates = eligible.map(upstream =>
    createCandidate(
      upstream,
      upstream.reportedWorkTimeFactor ?? learntFactor(upstream),
      settings,
    ),
  );
  if (!isHerding) return cheapest(candidates);
  return cheapest([...drawTwo(candidates, settings)]);
}

/** Whether one request of each node would fill an upstream. */
function isHerdingLikely(
  [first]: readonly ProxyUpstream[],
  {senderCount = 1, fullShare}: PickSettings,
): boolean {
  return !!first && senderCount > first.description.slots * fullShare;
}

/**
 * The cost is the expected time of the request relative to that at an idle
 * upstream: a request at a full upstream takes about twice as long. Requests
 * that this node has in flight there count twice, so that each node spreads its
 * own requests.
 */
function createCandidate(
  upstream: ProxyUpstream,
  workTimeFactor: number,
  settings: PickSettings,
): Candidate {
  const {fullShare, crossDomainShare, random} = settings;
  const {estimatedInFlight, ownInFlight, description} = upstream;
  const {slots} = description;
  const load = (estimatedInFlight + ownInFlight + random()) / slots;
  const penalty = isNear(upstream, settings) ? 0 : crossDomainShare;
  const freeSlots = Math.max(
    MINIMUM_FREE_SLOTS,
    slots * fullShare - estimatedInFlight,
  );
  return {
    upstream,
    cost: workTimeFactor * (1 + load) + penalty,
    freeCapacity: freeSlots / workTimeFactor,
  };
}

function isNear(
  {description}: ProxyUpstream,
  {ownFailureDomain}: PickSettings,
): boolean {
  return description.failureDomain === ownFailureDomain;
}

function cheapest(candidates: readonly Candidate[]): ProxyUpstream | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates)
    if (!best || candidate.cost < best.cost) best = candidate;
  return best?.upstream;
}

/**
 * Draws one candidate in this failure domain and one elsewhere, or two where all
 * are. With two of each, nodes would still herd: a domain has few upstreams that
 * hold the same model.
 */
function* drawTwo(
  candidates: readonly Candidate[],
  settings: PickSettings,
): Generator<Candidate> {
  const near: Candidate[] = [];
  const far: Candidate[] = [];
  for (const candidate of candidates)
    (isNear(candidate.upstream, settings) ? near : far).push(candidate);
  const isSplit = near.length > 0 && far.length > 0;
  const first = draw(isSplit ? near : candidates, settings.random);
  if (!first) return;
  yield first;
  const others = isSplit
    ? far
    : candidates.filter(candidate => candidate !== first);
  const second = draw(others, settings.random);
  if (second) yield second;
}

function draw(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  let total = 0;
  for (const {freeCapacity} of candidates) total += freeCapacity;
  let remaining = random() * total;
  for (const candidate of candidates) {
    remaining -= candidate.freeCapacity;
    if (remaining < 0) return candidate;
  }
  return candidates.at(-1);
}
