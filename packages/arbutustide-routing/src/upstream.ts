import type {HostKind} from '@arbutustide/upstream';

/** What is known of an upstream's load and content, from one report. */
export interface UpstreamObservation {
  readonly upstreamId: string;
  /** Start id the upstream drew; it changes when the upstream restarts. */
  readonly start: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly isLeaving: boolean;
  /** Items in memory as `name@version`; empty for a plain service. */
  readonly residentItems: readonly string[];
  /** When the report was read, by this node's monotonic clock. */
  readonly atMilliseconds: number;
}

/** One upstream as this node knows it. */
export interface Upstream {
  readonly id: string;
  readonly kind: HostKind;
  readonly url: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly group: string | undefined;
  readonly checksFencing: boolean;
  /** False once the platform's list no longer names it. */
  isListed: boolean;
  /** Set by the earliest sign of leaving from any source. */
  isLeaving: boolean;
  observation: UpstreamObservation | undefined;
  /** Requests of this node in flight there. */
  ownInFlight: number;
  /** Suspects of this node in flight there. */
  suspectsInFlight: number;
  /** It is avoided until then, by the monotonic clock. */
  avoidedUntilMilliseconds: number;
}
