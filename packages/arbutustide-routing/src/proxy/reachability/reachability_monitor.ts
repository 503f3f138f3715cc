import type {ProxyUpstream} from '../proxy_upstream.js';
import type {UpstreamReachability} from './upstream_reachability.js';

import {delay} from '@arbutustide/errors';

import {
  ReachabilityChange,
  ServiceReachability,
} from './service_reachability.js';

/** Silence of a whole service, with requests under way, that begins probes. */
const SILENCE_TO_PROBE_MILLISECONDS = 500;
/** Least time between two probes of one upstream. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/** Probes of one service that may be under way or begin within an interval. */
const PROBES_PER_INTERVAL = 3;
const CHECK_INTERVAL_MILLISECONDS = 100;
/**
 * Data that was on its way when a connection broke may arrive this much later,
 * and does not show that this node still reaches upstreams.
 */
const DATA_IN_TRANSIT_MILLISECONDS = 50;
/** How long something may wait for another upstream to answer. */
const CONFIRMATION_MILLISECONDS = 2_000;

/** Connection of a monitor to its node. */
export interface ReachabilityMonitorOptions {
  /** Services with upstreams. */
  readonly listServices: () => Iterable<string>;
  /** Upstreams of a service. */
  readonly listUpstreams: (service: string) => Iterable<ProxyUpstream>;
  /** Whether the upstream answers or accepts a new connection. */
  readonly probe: (upstream: ProxyUpstream) => Promise<boolean>;
  /** Called when a service is cut off from this node, or reachable again. */
  readonly onServiceChange: (
    service: string,
    change: ReachabilityChange,
  ) => void;
  /** Called when a single upstream is lost, or reachable again. */
  readonly onUpstreamChange: (upstream: ProxyUpstream) => void;
}

/** Something that is done once another upstream of the service has answered. */
interface PendingConfirmation {
  readonly upstream: ProxyUpstream;
  readonly sinceMilliseconds: number;
  readonly action: () => void;
}

interface ServiceState {
  readonly reachability: ServiceReachability;
  /** Begin of the latest probe, by upstream (monotonic clock). */
  readonly probedAt: Map<ProxyUpstream, number>;
  /** Upstreams that were last reported as lost. */
  readonly lost: Set<ProxyUpstream>;
  confirmations: PendingConfirmation[];
}

/**
 * Finds out which upstreams this node cannot reach, by what becomes of requests
 * and, while that leaves a doubt, by a few probes.
 */
export class ReachabilityMonitor {
  private readonly states = new Map<string, ServiceState>();

  constructor(private readonly options: ReachabilityMonitorOptions) {}

  /** Whether this node is cut off from all upstreams of a service. */
  isCutOff(service: string): boolean {
    return this.states.get(service)?.reachability.isCutOff ?? false;
  }

  /** Services that are cut off from this node. */
  *cutOffServices(): Generator<string> {
    for (const [service, {reachability}] of this.states)
      if (reachability.isCutOff) yield service;
  }

  /** Checks all services until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MILLISECONDS, signal)) {
      for (const service of this.options.listServices()) this.check(service);
    }
  }

  /** Records that a connection to the upstream could not be opened. */
  recordNoPath(upstream: ProxyUpstream, beganAtMilliseconds: number): void {
    upstream.reachability.recordNoPath(beganAtMilliseconds);
    this.check(upstream.description.service);
  }

  /** Probes an upstream that may be lost, soon. */
  suspect(upstream: ProxyUpstream): void {
    const state = this.stateOf(upstream.description.service);
    this.probeIfDue(upstream, state);
  }

  /**
   * Does something as soon as another upstream of the service has answered:
   * what happened at this one is then not the loss of this node's own path. If
   * no request shows it, others are probed; if none answers, it is not done.
   */
  whenOthersAnswer(upstream: ProxyUpstream, action: () => void): void {
    const {service} = upstream.description;
    const others = this.listReady(service).filter(other => other !== upstream);
    if (others.length === 0) {
      if (!upstream.reachability.isLost) action();
      return;
    }
    const sinceMilliseconds = performance.now() + DATA_IN_TRANSIT_MILLISECONDS;
    this.stateOf(service).confirmations.push({
      upstream,
      sinceMilliseconds,
      action,
    });
  }

  private check(service: string): void {
    const state = this.stateOf(service);
    if (this.isSettled(service, state)) return;
    const upstreams = this.listReady(service);
    this.runConfirmed(state, upstreams);
    this.reportChanges(state, upstreams);
    const change = state.reachability.update(
      upstreams.map(({reachability}) => reachability),
    );
    if (change !== undefined) {
      this.options.onServiceChange(service, change);
      if (change === ReachabilityChange.CUT_OFF) this.probeOthers(service);
    }
    this.probe(state, upstreams);
  }

  /** Whether no upstream is in doubt, so that nothing can change now. */
  private isSettled(
    service: string,
    {lost, confirmations, reachability}: ServiceState,
  ): boolean {
    if (lost.size > 0 || confirmations.length > 0) return false;
    if (!reachability.isSettled) return false;
    for (const upstream of this.options.listUpstreams(service))
      if (upstream.isReady && isInDoubt(upstream.reachability)) return false;
    return true;
  }

  private runConfirmed(
    state: ServiceState,
    upstreams: readonly ProxyUpstream[],
  ): void {
    if (state.confirmations.length === 0) return;
    const now = performance.now();
    const waiting: PendingConfirmation[] = [];
    for (const confirmation of state.confirmations) {
      const {upstream, sinceMilliseconds, action} = confirmation;
      const isConfirmed = upstreams.some(
        other =>
          other !== upstream &&
          other.reachability.lastDataAt > sinceMilliseconds,
      );
      if (isConfirmed) action();
      else if (now < sinceMilliseconds + CONFIRMATION_MILLISECONDS)
        waiting.push(confirmation);
    }
    state.confirmations = waiting;
  }

  private reportChanges(
    {lost}: ServiceState,
    upstreams: readonly ProxyUpstream[],
  ): void {
    for (const upstream of lost) {
      const isLost =
        upstreams.includes(upstream) && upstream.reachability.hasFailed;
      if (isLost) continue;
      lost.delete(upstream);
      this.options.onUpstreamChange(upstream);
    }
    for (const upstream of upstreams) {
      if (!upstream.reachability.hasFailed || lost.has(upstream)) continue;
      lost.add(upstream);
      this.options.onUpstreamChange(upstream);
    }
  }

  /** Probes what is lost and, in a silence of all, what should have answered. */
  private probe(
    state: ServiceState,
    upstreams: readonly ProxyUpstream[],
  ): void {
    const lastDataAt = Math.max(
      ...upstreams.map(({reachability}) => reachability.lastDataAt),
    );
    const isSilent =
      performance.now() - lastDataAt > SILENCE_TO_PROBE_MILLISECONDS &&
      upstreams.some(
        ({reachability}) =>
          reachability.silentMilliseconds > SILENCE_TO_PROBE_MILLISECONDS,
      );
    // What was lost while no other has sent anything since may be a cut.
    const lostAt = Math.min(
      firstFailureAt(upstreams),
      ...state.confirmations.map(({sinceMilliseconds}) => sinceMilliseconds),
    );
    const isDoubtful = lostAt < performance.now() && lastDataAt < lostAt;
    const suspects = upstreams.filter(
      ({reachability}) => reachability.isLost || isSilent || isDoubtful,
    );
    this.probeSome(suspects, state);
  }

  /** A node that is cut off from one service probably is from others too. */
  private probeOthers(cutOffService: string): void {
    for (const service of this.options.listServices()) {
      if (service === cutOffService || this.isCutOff(service)) continue;
      this.probeSome(this.listReady(service), this.stateOf(service));
    }
  }

  /** Probes as many of the upstreams as may be, first the longest unprobed. */
  private probeSome(
    upstreams: readonly ProxyUpstream[],
    state: ServiceState,
  ): void {
    if (upstreams.length === 0) return;
    const probedAt = (upstream: ProxyUpstream) =>
      state.probedAt.get(upstream) ?? -Infinity;
    const ordered = [...upstreams].sort(
      (left, right) => probedAt(left) - probedAt(right) || 0,
    );
    for (const upstream of ordered.slice(0, PROBES_PER_INTERVAL))
      this.probeIfDue(upstream, state);
  }

  private probeIfDue(upstream: ProxyUpstream, {probedAt}: ServiceState): void {
    // It wants nothing from this node for now, probes included.
    if (upstream.remainingBackOffMilliseconds > 0) return;
    const now = performance.now();
    let recentProbes = 0;
    for (const [probed, at] of probedAt) {
      if (now - at < PROBE_INTERVAL_MILLISECONDS) recentProbes += 1;
      else if (!probed.isReady) probedAt.delete(probed);
    }
    const lastProbedAt = probedAt.get(upstream) ?? -Infinity;
    if (now - lastProbedAt < PROBE_INTERVAL_MILLISECONDS) return;
    if (recentProbes >= PROBES_PER_INTERVAL) return;
    probedAt.set(upstream, now);
    void this.runProbe(upstream, now);
  }

  private async runProbe(
    upstream: ProxyUpstream,
    beganAtMilliseconds: number,
  ): Promise<void> {
    const isReached = await this.options.probe(upstream);
    if (isReached) upstream.reachability.recordAnswer(beganAtMilliseconds);
    else upstream.reachability.recordNoPath(beganAtMilliseconds);
    this.check(upstream.description.service);
  }

  private listReady(service: string): ProxyUpstream[] {
    return [...this.options.listUpstreams(service)].filter(
      ({isReady}) => isReady,
    );
  }

  private stateOf(service: string): ServiceState {
    const known = this.states.get(service);
    if (known) return known;
    const created: ServiceState = {
      reachability: new ServiceReachability(),
      probedAt: new Map(),
      lost: new Set(),
      confirmations: [],
    };
    this.states.set(service, created);
    return created;
  }
}

function isInDoubt({
  isLost,
  silentMilliseconds,
}: UpstreamReachability): boolean {
  return isLost || silentMilliseconds > SILENCE_TO_PROBE_MILLISECONDS;
}

/** When the earliest attempt began that found no path; Infinity if none did. */
function firstFailureAt(upstreams: readonly ProxyUpstream[]): number {
  const failures = upstreams
    .filter(({reachability}) => reachability.hasFailed)
    .map(({reachability}) => reachability.failedAttemptBeganAt);
  return Math.min(...failures);
}
