import type {HostKind} from '@arbutustide/upstream';

/** Load and resident items of an upstream, from one of its reports. */
export interface UpstreamObservation {
  readonly upstreamId: string;
  /** Id of the running instance; it changes when the upstream restarts. */
  readonly instanceId: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly isLeaving: boolean;
  /** Items in memory, as `name@version`; empty for a plain service. */
  readonly residentItems: readonly string[];
  /** When the report was read, on this node's monotonic clock. */
  readonly readAtMilliseconds: number;
}

/** This node's state of one upstream. */
export interface Upstream {
  readonly id: string;
  readonly kind: HostKind;
  readonly url: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly group: string | undefined;
  readonly checksFencing: boolean;
  /** Whether the latest host list of the platform contains it. */
  isListed: boolean;
  /** Set when any source first reports that it is leaving. */
  isLeaving: boolean;
  observation: UpstreamObservation | undefined;
  /** Requests of this node in flight at the upstream. */
  ownInFlight: number;
  /** Suspected poison requests of this node in flight at the upstream. */
  suspectsInFlight: number;
  /** Until this time on the monotonic clock other upstreams are preferred. */
  avoidedUntilMilliseconds: number;
}
