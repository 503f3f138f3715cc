import type {ProxyUpstream} from '../proxy_upstream.js';
import type {ModelReference} from '../route.js';

/** Requests that wait for one model, or for a plain service. */
export interface WaitingEntry {
  /** Undefined for a plain service. */
  readonly model: string | undefined;
  readonly count: number;
}

/** What the expected wait of one request follows from. */
export interface ExpectedWaitInputs {
  /** Upstreams whose software may serve the request. */
  readonly upstreams: readonly ProxyUpstream[];
  /** Undefined for a plain service. */
  readonly reference: ModelReference | undefined;
  /** Mean time that a request holds a slot. */
  readonly holdMilliseconds: number;
  /** Utilization from which an upstream gets no requests. */
  readonly fullShare: number;
  /** Requests for the same model that this node serves before. */
  readonly ahead: number;
  /**
   * Requests that are served before at other nodes, and here those for other
   * models, which compete for the same upstreams.
   */
  readonly competing: Iterable<WaitingEntry>;
}

/**
 * Expected time until a request gets a slot, in milliseconds: the requests that
 * are served before, divided by the rate at which slots come free at the
 * upstreams that hold its model. Requests for other models count in part, as
 * their other replicas serve them too. Zero if an upstream is not full;
 * undefined if no slot is in use that could come free.
 */
export function expectedWaitMilliseconds({
  upstreams,
  reference,
  holdMilliseconds,
  fullShare,
  ahead,
  competing,
}: ExpectedWaitInputs): number | undefined {
  let inFlight = 0;
  const holders: ProxyUpstream[] = [];
  for (const upstream of upstreams) {
    if (!isUsable(upstream)) continue;
    if (reference && !upstream.canServe(reference)) continue;
    const {estimatedInFlight, description} = upstream;
    if (estimatedInFlight < fullShare * description.slots) return 0;
    inFlight += estimatedInFlight;
    holders.push(upstream);
  }
  if (inFlight === 0) return undefined;
  let before = ahead + 1;
  for (const {model, count} of competing) {
    if (count === 0) continue;
    before += count * competingShare(model, reference, holders, upstreams);
  }
  return (before * holdMilliseconds) / inFlight;
}

/** Requests that the usable upstreams can take until they are full. */
export function countFreeSlots(
  upstreams: Iterable<ProxyUpstream>,
  reference: ModelReference | undefined,
  fullShare: number,
): number {
  let count = 0;
  for (const upstream of upstreams) {
    if (!isUsable(upstream)) continue;
    if (reference && !upstream.canServe(reference)) continue;
    const {estimatedInFlight, description} = upstream;
    count += Math.max(0, fullShare * description.slots - estimatedInFlight);
  }
  return count;
}

/**
 * The part of the requests for a model that the holders of the requested one
 * are expected to serve.
 */
function competingShare(
  model: string | undefined,
  reference: ModelReference | undefined,
  holders: readonly ProxyUpstream[],
  upstreams: readonly ProxyUpstream[],
): number {
  if (model === undefined || model === reference?.model) return 1;
  const shared = countHolders(holders, model);
  if (shared === 0) return 0;
  return shared / countHolders(upstreams, model);
}

function countHolders(
  upstreams: readonly ProxyUpstream[],
  model: string,
): number {
  let count = 0;
  for (const upstream of upstreams) {
    if (isUsable(upstream) && upstream.holdsModel(model)) count += 1;
  }
  return count;
}

/** Whether the slots of an upstream that come free can be taken now. */
function isUsable(upstream: ProxyUpstream): boolean {
  return (
    upstream.isReady &&
    !upstream.isEjected &&
    !upstream.reachability.isLost &&
    upstream.remainingBackOffMilliseconds === 0
  );
}
