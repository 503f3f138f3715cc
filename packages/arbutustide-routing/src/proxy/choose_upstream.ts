import type {PickSettings} from './balance/pick_upstream.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {BrittleTerms} from './brittleness/brittle_terms.js';
import type {ModelReference} from './route.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';

import {pickUpstream} from './balance/pick_upstream.js';

/** Weights and limits of load balancing, as shares of an upstream's slots. */
export interface UpstreamChoiceSettings extends PickSettings {
  /** Whether this node may send to an upstream; it may if absent. */
  readonly maySend?: (upstream: ProxyUpstream) => boolean;
  /** Undefined unless the service's upstreams are brittle. */
  readonly brittleTerms?: BrittleTerms;
}

type CapacitySettings = Pick<
  UpstreamChoiceSettings,
  'fullShare' | 'brittleTerms'
>;

const MILLISECONDS_PER_SECOND = 1_000;

/** The upstreams whose software may serve the request, whatever their state. */
export function* compatibleUpstreams(
  candidates: Iterable<ProxyUpstream>,
  {origin}: Pick<RoutedRequestProgress, 'origin'>,
): Generator<ProxyUpstream> {
  for (const upstream of candidates) {
    const {softwareVersion} = upstream.description;
    if (!origin || softwareVersion === origin.softwareVersion) yield upstream;
  }
}

/** Why no upstream can take a request now. */
export enum NoUpstreamReason {
  /** No ready upstream that was not yet tried holds the model. */
  NOT_HELD = 'not_held',
  /** Ready upstreams hold it, but only other nodes can send to them. */
  UNREACHABLE = 'unreachable',
  /**
   * Each upstream that holds it is ejected, asked for a pause, or is at its
   * utilization limit.
   */
  FULL = 'full',
  /** Some upstream that holds it lacks only a token of its rate limit. */
  RATE_LIMITED = 'rate_limited',
}

/** The chosen upstream, or why there is none. */
export type UpstreamChoice = ProxyUpstream | NoUpstreamReason;

/** Whether no upstream was chosen. */
export function isNoUpstreamReason(
  choice: UpstreamChoice,
): choice is NoUpstreamReason {
  return typeof choice === 'string';
}

/**
 * Chooses an upstream that can take a request now, by `pickUpstream`. One whose
 * entry is missing from the list is chosen only if no other can take it.
 *
 * @param excluded upstreams already tried for this request.
 */
export function chooseUpstream(
  candidates: Iterable<ProxyUpstream>,
  model: ModelReference | undefined,
  excluded: ReadonlySet<ProxyUpstream>,
  settings: UpstreamChoiceSettings,
): UpstreamChoice {
  const eligible: ProxyUpstream[] = [];
  const unlisted: ProxyUpstream[] = [];
  const holders: ProxyUpstream[] = [];
  let reason = NoUpstreamReason.NOT_HELD;
  for (const upstream of candidates) {
    if (!upstream.isReady) continue;
    if (model && !upstream.canServe(model)) continue;
    if (!isOpen(upstream, settings)) {
      if (reason === NoUpstreamReason.NOT_HELD)
        reason = NoUpstreamReason.UNREACHABLE;
      continue;
    }
    if (excluded.has(upstream)) continue;
    holders.push(upstream);
    if (reason !== NoUpstreamReason.RATE_LIMITED)
      reason = NoUpstreamReason.FULL;
    if (!hasCapacity(upstream, settings)) continue;
    if (!upstream.rateLimit.allowsRequest) {
      reason = NoUpstreamReason.RATE_LIMITED;
      continue;
    }
    (upstream.isUnlisted ? unlisted : eligible).push(upstream);
  }
  const preferred = eligible.length > 0 ? eligible : unlisted;
  return pickUpstream(preferred, holders, settings) ?? reason;
}

/**
 * Among the upstreams that lack only a token to take a request, the one that
 * will take it first.
 *
 * @param excluded upstreams already tried for this request.
 */
export function chooseRateLimited(
  candidates: Iterable<ProxyUpstream>,
  model: ModelReference | undefined,
  excluded: ReadonlySet<ProxyUpstream>,
  settings: CapacitySettings & Pick<UpstreamChoiceSettings, 'maySend'>,
): ProxyUpstream | undefined {
  let best: ProxyUpstream | undefined;
  for (const upstream of candidates) {
    const {rateLimit} = upstream;
    if (!rateLimit.isLimited || rateLimit.allowsRequest) continue;
    if (!upstream.isReady || excluded.has(upstream)) continue;
    if (model && !upstream.canServe(model)) continue;
    if (!isOpen(upstream, settings)) continue;
    if (!hasCapacity(upstream, settings)) continue;
    const bestWait = best?.rateLimit.expectedWaitMilliseconds ?? Infinity;
    if (rateLimit.expectedWaitMilliseconds < bestWait) best = upstream;
  }
  return best;
}

/**
 * Expected time until the upstreams that can serve a request accept it, in
 * milliseconds: after their pauses, and as fast as their rate limits allow. Zero
 * if one accepts requests now or none can serve it.
 *
 * @param ahead number of requests that are served before.
 */
export function expectedAcceptanceMilliseconds(
  candidates: Iterable<ProxyUpstream>,
  model: ModelReference | undefined,
  ahead: number,
): number {
  let shortest = Infinity;
  let requestsPerSecond = 0;
  for (const upstream of candidates) {
    if (!upstream.isReady || (model && !upstream.canServe(model))) continue;
    const {rateLimit, remainingBackOffMilliseconds} = upstream;
    requestsPerSecond += rateLimit.expectedRequestsPerSecond;
    shortest = Math.min(
      shortest,
      Math.max(
        remainingBackOffMilliseconds,
        rateLimit.expectedWaitMilliseconds,
      ),
    );
  }
  if (shortest === Infinity) return 0;
  return shortest + (ahead * MILLISECONDS_PER_SECOND) / requestsPerSecond;
}

/** Whether this node has a path to the upstream and may use it. */
function isOpen(
  upstream: ProxyUpstream,
  {maySend}: Pick<UpstreamChoiceSettings, 'maySend'>,
): boolean {
  return !upstream.reachability.isLost && (maySend?.(upstream) ?? true);
}

/** Whether the upstream takes requests and is not at its utilization limit. */
function hasCapacity(
  upstream: ProxyUpstream,
  {fullShare, brittleTerms}: CapacitySettings,
): boolean {
  if (upstream.isEjected || upstream.remainingBackOffMilliseconds > 0)
    return false;
  if (!brittleTerms) return utilization(upstream) < fullShare;
  // What waits at a brittle upstream may be turned away.
  if (utilization(upstream) >= Math.min(1, fullShare)) return false;
  const {slots} = upstream.description;
  const ownSlots = Math.max(1, Math.floor(slots / brittleTerms.senderCount));
  if (brittleTerms.isGated && upstream.ownInFlight >= ownSlots) return false;
  return upstream.admission.allowsRequest(slots, brittleTerms);
}

/** Requests in flight at the upstream, as a share of its slots. */
export function utilization({
  estimatedInFlight,
  description,
}: ProxyUpstream): number {
  return estimatedInFlight / description.slots;
}
