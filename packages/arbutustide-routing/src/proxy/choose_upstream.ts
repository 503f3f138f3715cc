import type {ProxyUpstream} from './proxy_upstream.js';
import type {ModelReference} from './route.js';

/** Weights and limits of load balancing, as shares of an upstream's slots. */
export interface UpstreamChoiceSettings {
  readonly ownFailureDomain: string;
  /**
   * Penalty of an upstream in another failure domain, as a share of its slots:
   * one of this node's domain is preferred until it is busier by this much.
   */
  readonly crossDomainShare: number;
  /** Utilization (in-flight requests by slots) from which none is sent. */
  readonly fullShare: number;
  /** Uniformly distributed in [0, 1); breaks ties. */
  readonly random: () => number;
}

/** Why no upstream can take a request now. */
export enum NoUpstreamReason {
  /** No ready upstream that was not yet tried holds the model. */
  NOT_HELD = 'not_held',
  /**
   * Each upstream that holds it is ejected, asked for a pause, or is at its
   * utilization limit.
   */
  FULL = 'full',
}

/** The chosen upstream, or why there is none. */
export type UpstreamChoice = ProxyUpstream | NoUpstreamReason;

/**
 * Chooses the least utilized upstream that can serve a request, with a penalty
 * for upstreams in other failure domains. Requests that this node has in flight
 * at an upstream count twice, so that each node spreads its own requests.
 *
 * @param excluded upstreams already tried for this request.
 */
export function chooseUpstream(
  candidates: Iterable<ProxyUpstream>,
  model: ModelReference | undefined,
  excluded: ReadonlySet<ProxyUpstream>,
  settings: UpstreamChoiceSettings,
): UpstreamChoice {
  let best: ProxyUpstream | undefined;
  let bestCost = Infinity;
  let isModelHeld = false;
  for (const upstream of candidates) {
    if (!upstream.isReady || excluded.has(upstream)) continue;
    if (model && !upstream.canServe(model)) continue;
    isModelHeld = true;
    if (upstream.isEjected || upstream.remainingBackOffMilliseconds > 0)
      continue;
    const load = upstream.estimatedInFlight / upstream.description.slots;
    if (load >= settings.fullShare) continue;
    const cost = upstreamCost(upstream, load, settings);
    if (cost >= bestCost) continue;
    best = upstream;
    bestCost = cost;
  }
  if (best) return best;
  return isModelHeld ? NoUpstreamReason.FULL : NoUpstreamReason.NOT_HELD;
}

/**
 * Time until the first upstream that can serve a request accepts calls again,
 * in milliseconds; zero if one does now or none can serve it.
 */
export function remainingBackOffMilliseconds(
  candidates: Iterable<ProxyUpstream>,
  model: ModelReference | undefined,
): number {
  let shortest = Infinity;
  for (const upstream of candidates) {
    if (!upstream.isReady || (model && !upstream.canServe(model))) continue;
    shortest = Math.min(shortest, upstream.remainingBackOffMilliseconds);
  }
  return shortest === Infinity ? 0 : shortest;
}

function upstreamCost(
  {description, ownInFlight}: ProxyUpstream,
  load: number,
  {ownFailureDomain, crossDomainShare, random}: UpstreamChoiceSettings,
): number {
  const isNear = description.failureDomain === ownFailureDomain;
  const spread = (ownInFlight + random()) / description.slots;
  return load + (isNear ? 0 : crossDomainShare) + spread;
}
