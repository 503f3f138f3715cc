import type {FleetUpstream} from './fleet_upstream.js';
import type {ModelName} from './route.js';

/** What makes one upstream better than another, in comparable units. */
export interface FleetChoiceSettings {
  readonly ownFailureDomain: string;
  /**
   * Requests more an upstream of the own failure domain may have in flight, as
   * a share of its slots, before one of another domain is preferred.
   */
  readonly crossDomainShare: number;
  /** In-flight requests, as a share of the slots, beyond which none is sent. */
  readonly fullShare: number;
  /** Uniform in [0, 1); breaks ties. */
  readonly random: () => number;
}

/** Why no upstream takes a request now. */
export enum NoChoice {
  /** No ready upstream holds the model. */
  NOT_HELD = 'not_held',
  /** Every upstream that holds it has as much work as it may have. */
  FULL = 'full',
}

/** An upstream, or why there is none. */
export type FleetChoice = FleetUpstream | NoChoice;

/**
 * Chooses the least loaded upstream that can serve a request, the own failure
 * domain first while it is not much more loaded.
 *
 * @param excluded upstreams already tried for this request.
 */
export function chooseUpstream(
  candidates: Iterable<FleetUpstream>,
  model: ModelName | undefined,
  excluded: ReadonlySet<FleetUpstream>,
  settings: FleetChoiceSettings,
): FleetChoice {
  let best: FleetUpstream | undefined;
  let bestCost = Infinity;
  let isHeldSomewhere = false;
  for (const upstream of candidates) {
    if (!upstream.isReady || excluded.has(upstream)) continue;
    if (model && !upstream.canServe(model)) continue;
    isHeldSomewhere = true;
    if (upstream.isEjected) continue;
    const load = upstream.estimatedInFlight / upstream.description.slots;
    if (load >= settings.fullShare) continue;
    const cost = upstreamCost(upstream, load, settings);
    if (cost >= bestCost) continue;
    best = upstream;
    bestCost = cost;
  }
  if (best) return best;
  return isHeldSomewhere ? NoChoice.FULL : NoChoice.NOT_HELD;
}

function upstreamCost(
  {description, ownInFlight}: FleetUpstream,
  load: number,
  {ownFailureDomain, crossDomainShare, random}: FleetChoiceSettings,
): number {
  const isNear = description.failureDomain === ownFailureDomain;
  const spread = (ownInFlight + random()) / description.slots;
  return load + (isNear ? 0 : crossDomainShare) + spread;
}
