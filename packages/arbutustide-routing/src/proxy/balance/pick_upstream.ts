import type {ProxyUpstream} from '../proxy_upstream.js';
import type {LeavingDecision, LeavingInput} from './leaving_the_domain.js';
import type {DomainSettings, ObservedUpstream} from './observe_domains.js';

import {decideLeaving} from './leaving_the_domain.js';
import {learnWorkTimes} from './learnt_work_time.js';
import {isInDomain, observeDomains} from './observe_domains.js';

/** What the choice among upstreams that can take a request depends on. */
export interface PickSettings extends DomainSettings {
  /** Nodes that send to the same upstreams, this one included; 1 if absent. */
  readonly senderCount?: number;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
  /** Told of each decision to leave this failure domain or to stay. */
  readonly onLeavingDecision?: (
    decision: LeavingDecision,
    input: LeavingInput,
  ) => void;
}

/**
 * An upstream that is nearly full by a stale estimate may have become free; it
 * keeps a small weight, in slots.
 */
const MINIMUM_FREE_SLOTS = 0.25;

/**
 * A request that is to stay leaves all the same if the drawn upstreams differ by
 * this much beyond the penalty: reports show a sudden load seconds before the
 * counts of other nodes do.
 */
const FRESH_REPORT_MARGIN = 0.2;

interface Candidate {
  readonly upstream: ProxyUpstream;
  readonly isNear: boolean;
  readonly cost: number;
  /** Free slots over the time that work takes. */
  readonly freeCapacity: number;
}

/**
 * Picks an upstream for a request. While all nodes together could send one
 * request each to the same upstream without filling it, that is the one with the
 * lowest expected time. With more nodes, all of them would send to it until its
 * reports arrive (the busiest engine got 3.28 times the mean at 35 nodes); then
 * few upstreams are drawn at random by free capacity, and the best of these is
 * taken.
 *
 * @param eligible upstreams that can take the request now.
 * @param holders all upstreams that hold what it needs, full or not.
 */
export function pickUpstream(
  eligible: readonly ProxyUpstream[],
  holders: readonly ProxyUpstream[],
  settings: PickSettings,
): ProxyUpstream | undefined {
  const [first] = eligible;
  if (!first) return undefined;
  const isHerding = isHerdingLikely(first, settings);
  const learntFactor = isHerding ? learnWorkTimes(holders) : () => 1;
  const observed = new Map(
    holders.map(upstream => [
      upstream,
      {
        upstream,
        inFlight: upstream.estimatedInFlight,
        workTimeFactor:
          upstream.reportedWorkTimeFactor ?? learntFactor(upstream),
      },
    ]),
  );
  const input = observeDomains([...observed.values()], settings);
  const decision = decideLeaving(input);
  settings.onLeavingDecision?.(decision, input);
  const leaves = isHerding && settings.random() < decision.leavingShare;
  const penaltyShare = isHerding
    ? penaltyOfDrawn(decision, leaves)
    : decision.penaltyShare;
  const candidates: Candidate[] = [];
  for (const upstream of eligible) {
    const known = observed.get(upstream);
    if (known) candidates.push(createCandidate(known, penaltyShare, settings));
  }
  return cheapest(
    isHerding
      ? drawCandidates(candidates, leaves, settings.random)
      : candidates,
  );
}

/**
 * Penalty of a drawn upstream in another domain. The price is in the share of
 * requests that leave already.
 */
function penaltyOfDrawn(
  {penaltyShare}: LeavingDecision,
  leaves: boolean,
): number {
  return leaves ? 0 : penaltyShare + FRESH_REPORT_MARGIN;
}

/** Whether one request of each node would fill an upstream. */
function isHerdingLikely(
  {description}: ProxyUpstream,
  {senderCount = 1, fullShare}: PickSettings,
): boolean {
  return senderCount > description.slots * fullShare;
}

/**
 * The cost is the expected time of the request relative to that at an idle
 * upstream: a request at a full upstream takes about twice as long. Requests
 * that this node has in flight there count twice, so that each node spreads its
 * own requests.
 */
function createCandidate(
  {upstream, inFlight, workTimeFactor}: ObservedUpstream,
  penaltyShare: number,
  settings: PickSettings,
): Candidate {
  const {fullShare, random} = settings;
  const {slots} = upstream.description;
  const load = (inFlight + upstream.ownInFlight + random()) / slots;
  const isNear = isInDomain(upstream, settings);
  const freeSlots = Math.max(MINIMUM_FREE_SLOTS, slots * fullShare - inFlight);
  return {
    upstream,
    isNear,
    cost: workTimeFactor * (1 + load) + (isNear ? 0 : penaltyShare),
    freeCapacity: freeSlots / workTimeFactor,
  };
}

function cheapest(candidates: Iterable<Candidate>): ProxyUpstream | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates)
    if (!best || candidate.cost < best.cost) best = candidate;
  return best?.upstream;
}

/**
 * Draws one candidate in this failure domain and one elsewhere if the request is
 * to leave it, else two in it and one elsewhere for comparison. With two of each
 * for all, nodes would still herd: a domain has few upstreams that hold the same
 * model.
 */
function* drawCandidates(
  candidates: readonly Candidate[],
  leaves: boolean,
  random: () => number,
): Generator<Candidate> {
  const near: Candidate[] = [];
  const far: Candidate[] = [];
  for (const candidate of candidates)
    (candidate.isNear ? near : far).push(candidate);
  yield* drawDistinct(near, leaves && far.length > 0 ? 1 : 2, random);
  yield* drawDistinct(far, near.length > 0 ? 1 : 2, random);
}

function* drawDistinct(
  candidates: readonly Candidate[],
  count: number,
  random: () => number,
): Generator<Candidate> {
  let remaining = candidates;
  for (let drawn = 0; drawn < count; drawn += 1) {
    const next = draw(remaining, random);
    if (!next) return;
    yield next;
    remaining = remaining.filter(candidate => candidate !== next);
  }
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
