import type {UpstreamReachability} from './upstream_reachability.js';

/** Upstreams that must be lost before their whole service counts as cut off. */
const LOST_UPSTREAMS_TO_CUT_OFF = 3;
/** Upstreams that must answer before what attempts met in a cut is forgotten. */
const ANSWERS_TO_FORGET_FAILURES = 2;

/** Change of what a node can reach. */
export enum ReachabilityChange {
  CUT_OFF = 'cut_off',
  RECONNECTED = 'reconnected',
}

/**
 * Decides whether a node is cut off from a whole service. Several upstreams that
 * are lost while no other sends anything are a cut at this node or the end of
 * the service; peers tell which.
 */
export class ServiceReachability {
  private cutOffAtMilliseconds: number | undefined;
  /** When the cut began whose failures still count. */
  private lastCutAtMilliseconds: number | undefined;

  /** Whether the service counts as cut off from this node. */
  get isCutOff(): boolean {
    return this.cutOffAtMilliseconds !== undefined;
  }

  /** Whether nothing of an earlier cut remains to be decided. */
  get isSettled(): boolean {
    return !this.isCutOff && this.lastCutAtMilliseconds === undefined;
  }

  /**
   * Decides anew, and tells the upstreams if the decision has changed.
   *
   * @param upstreams those of the service that accept requests.
   */
  update(
    upstreams: readonly UpstreamReachability[],
  ): ReachabilityChange | undefined {
    const change = this.isCutOff
      ? this.updateCutOff(upstreams)
      : this.updateReachable(upstreams);
    this.forgetFailures(upstreams);
    return change;
  }

  private updateReachable(
    upstreams: readonly UpstreamReachability[],
  ): ReachabilityChange | undefined {
    if (!isCutOff(upstreams)) return undefined;
    this.cutOffAtMilliseconds = performance.now();
    this.lastCutAtMilliseconds = this.cutOffAtMilliseconds;
    for (const upstream of upstreams) upstream.presumeLost();
    return ReachabilityChange.CUT_OFF;
  }

  private updateCutOff(
    upstreams: readonly UpstreamReachability[],
  ): ReachabilityChange | undefined {
    if (countAnswered(upstreams, this.cutOffAtMilliseconds) === 0) {
      for (const upstream of upstreams)
        if (!upstream.isLost) upstream.presumeLost();
      return undefined;
    }
    this.cutOffAtMilliseconds = undefined;
    for (const upstream of upstreams) upstream.withdrawPresumption();
    return ReachabilityChange.RECONNECTED;
  }

  /** Once several upstreams answer, the others need not be probed one by one. */
  private forgetFailures(upstreams: readonly UpstreamReachability[]): void {
    if (this.lastCutAtMilliseconds === undefined) return;
    const answered = countAnswered(upstreams, this.lastCutAtMilliseconds);
    if (answered < ANSWERS_TO_FORGET_FAILURES) return;
    this.lastCutAtMilliseconds = undefined;
    for (const upstream of upstreams) upstream.forgetFailure();
  }
}

function isCutOff(upstreams: readonly UpstreamReachability[]): boolean {
  const lastDataAt = Math.max(
    ...upstreams.map(upstream => upstream.lastDataAt),
  );
  const lost = upstreams.filter(
    ({failedAttemptBeganAt}) => failedAttemptBeganAt > lastDataAt,
  );
  const needed = Math.min(LOST_UPSTREAMS_TO_CUT_OFF, upstreams.length);
  return needed > 0 && lost.length >= needed;
}

/** How many upstreams have sent something since a time. */
function countAnswered(
  upstreams: readonly UpstreamReachability[],
  sinceMilliseconds = Infinity,
): number {
  return upstreams.filter(({lastDataAt}) => lastDataAt > sinceMilliseconds)
    .length;
}
