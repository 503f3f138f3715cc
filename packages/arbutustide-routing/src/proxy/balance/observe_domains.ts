import type {ProxyUpstream} from '../proxy_upstream.js';
import type {DomainCapacity, LeavingInput} from './leaving_the_domain.js';

/** What an observation of the failure domains depends on besides the upstreams. */
export interface DomainSettings {
  readonly ownFailureDomain: string;
  /** Utilization from which an upstream is full, as a share of its slots. */
  readonly fullShare: number;
  /** Price of the bytes of a request, as a share of its time. */
  readonly priceShare: number;
  /**
   * Time that a request takes at an upstream, in milliseconds; measured by the
   * heads of answers if absent, which is too short for streams.
   */
  readonly requestMilliseconds?: number;
}

/** An upstream with what is known of its load and speed. */
export interface ObservedUpstream {
  readonly upstream: ProxyUpstream;
  readonly inFlight: number;
  readonly workTimeFactor: number;
}

/** Assumed until requests have been measured. */
const INITIAL_REQUEST_MILLISECONDS = 500;
/**
 * Bound on the measured extra path, in milliseconds: the fastest answers of two
 * domains may differ by what was asked of them. Two delays are 3 to 11 ms.
 */
const MAXIMUM_EXTRA_PATH_MILLISECONDS = 30;

export function isInDomain(
  {description}: ProxyUpstream,
  {ownFailureDomain}: Pick<DomainSettings, 'ownFailureDomain'>,
): boolean {
  return description.failureDomain === ownFailureDomain;
}

/**
 * Sums up this failure domain and the others for the decision to leave it.
 *
 * @param holders all upstreams that hold what the request needs, full or not.
 */
export function observeDomains(
  holders: readonly ObservedUpstream[],
  settings: DomainSettings,
): LeavingInput {
  const local = holders.filter(({upstream}) => isInDomain(upstream, settings));
  const elsewhere = holders.filter(
    ({upstream}) => !isInDomain(upstream, settings),
  );
  const fastestLocal = fastestMilliseconds(local);
  const fastestElsewhere = fastestMilliseconds(elsewhere);
  const difference =
    fastestLocal === undefined || fastestElsewhere === undefined
      ? 0
      : fastestElsewhere - fastestLocal;
  let inFlight = 0;
  let localDemand = 0;
  for (const {upstream, inFlight: count} of holders) {
    inFlight += count;
    localDemand += upstream.ownInFlight + upstream.domainPeersInFlight;
  }
  return {
    local: sumUp(local, localDemand, settings),
    elsewhere: sumUp(elsewhere, Math.max(0, inFlight - localDemand), settings),
    extraPathMilliseconds: Math.min(
      MAXIMUM_EXTRA_PATH_MILLISECONDS,
      Math.max(0, difference),
    ),
    requestMilliseconds:
      settings.requestMilliseconds ?? averageMilliseconds(holders),
    priceShare: settings.priceShare,
  };
}

function sumUp(
  observed: readonly ObservedUpstream[],
  demand: number,
  {fullShare}: DomainSettings,
): DomainCapacity | undefined {
  if (observed.length === 0) return undefined;
  let slots = 0;
  let work = 0;
  for (const {upstream, workTimeFactor} of observed) {
    slots += upstream.description.slots;
    work += upstream.description.slots * workTimeFactor;
  }
  return {slots: slots * fullShare, workTimeFactor: work / slots, demand};
}

/** Fastest recent answer of any of the upstreams; undefined without any. */
function fastestMilliseconds(
  observed: readonly ObservedUpstream[],
): number | undefined {
  let fastest: number | undefined;
  for (const {upstream} of observed) {
    const {fastestMilliseconds: own} = upstream.responseTime;
    if (own === undefined) continue;
    fastest = Math.min(fastest ?? Infinity, own);
  }
  return fastest;
}

function averageMilliseconds(observed: readonly ObservedUpstream[]): number {
  let sum = 0;
  let count = 0;
  for (const {upstream} of observed) {
    const {averageMilliseconds: own} = upstream.responseTime;
    if (own === undefined) continue;
    sum += own;
    count += 1;
  }
  return sum > 0 ? sum / count : INITIAL_REQUEST_MILLISECONDS;
}
