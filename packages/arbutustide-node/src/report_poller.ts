import type {
  ClusterNode,
  ClusterView,
  MemberTable,
} from '@arbutustide/membership';
import type {
  Upstream,
  UpstreamConnector,
  UpstreamDirectory,
  UpstreamObservation,
} from '@arbutustide/routing';

import {delay} from '@arbutustide/errors';
import {
  rendezvousPick,
  UpstreamObservationSchema,
} from '@arbutustide/membership';
import {HostKind} from '@arbutustide/upstream';
import {create} from '@bufbuild/protobuf';

/** A load that changed by less than this share is not published anew. */
const PUBLISHED_LOAD_SHARE = 0.25;

/** How reports are polled. */
export interface ReportPollerOptions {
  readonly ownIdentity: string;
  readonly intervalMilliseconds: number;
  readonly refreshMilliseconds: number;
  readonly pollersPerUpstream: number;
}

interface Publication {
  readonly observation: UpstreamObservation;
  readonly atMilliseconds: number;
  readonly count: number;
}

/** A report of an upstream of any kind, ready for the directory. */
type ReportReader = (
  upstream: Upstream,
  connector: UpstreamConnector,
) => Promise<UpstreamObservation | undefined>;

const REPORT_READERS: Readonly<
  Record<HostKind.ENGINE | HostKind.SERVICE, ReportReader>
> = {
  async [HostKind.ENGINE](upstream, connector) {
    const atMilliseconds = performance.now();
    const report = await connector.engine(upstream).report();
    if (!report.ok) return undefined;
    const {engineStart, inFlight, queued, isLeaving, resident} = report.val;
    return {
      upstreamId: upstream.id,
      start: engineStart,
      inFlight,
      queued,
      isLeaving,
      residentItems: resident
        .filter(({isDraining}) => !isDraining)
        .map(({item}) => item),
      atMilliseconds,
    };
  },
  async [HostKind.SERVICE](upstream, connector) {
    const atMilliseconds = performance.now();
    const report = await connector.service(upstream).report();
    if (!report.ok) return undefined;
    const {serviceStart, inFlight, isLeaving} = report.val;
    return {
      upstreamId: upstream.id,
      start: serviceStart,
      inFlight,
      queued: 0,
      isLeaving,
      residentItems: [],
      atMilliseconds,
    };
  },
};

/**
 * Reads the reports of the upstreams assigned to this node and tells the other
 * nodes; takes in what they read. Polls thus do not grow with the nodes.
 */
export class ReportPoller {
  private readonly publications = new Map<string, Publication>();
  /** Latest field sequence taken from each writer and upstream. */
  private readonly takenSequences = new Map<string, number>();

  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
    private readonly table: MemberTable,
    private readonly view: ClusterView,
    private readonly options: ReportPollerOptions,
  ) {}

  /** Polls regularly until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pollOnce();
      await delay(this.options.intervalMilliseconds, signal);
    }
  }

  /** Polls every upstream assigned to this node once. */
  async pollOnce(): Promise<void> {
    const nodes = this.view.readyNodes();
    const upstreams = [...this.directory.all()];
    const assigned = upstreams.filter(item => this.isAssigned(item, nodes));
    this.withdraw(assigned);
    await Promise.all(assigned.map(upstream => this.poll(upstream)));
  }

  /** Takes in the observations of the other nodes. */
  takeObservations(): void {
    const now = performance.now();
    for (const received of this.view.observations()) {
      const {observation, sequence, writer} = received;
      const key = `${writer}/${observation.upstreamId}`;
      if (this.takenSequences.get(key) === sequence) continue;
      this.takenSequences.set(key, sequence);
      this.directory.applyObservation({
        upstreamId: observation.upstreamId,
        start: observation.upstreamStart,
        inFlight: observation.inFlight,
        queued: observation.queued,
        isLeaving: observation.leaving,
        residentItems: observation.residentItems,
        atMilliseconds: now,
      });
    }
  }

  /** Nodes in the upstream's failure domain poll it; else any node may. */
  private isAssigned(
    upstream: Upstream,
    nodes: readonly ClusterNode[],
  ): boolean {
    const {ownIdentity, pollersPerUpstream} = this.options;
    if (!upstream.observation) return true;
    const near = nodes.filter(
      node => node.failureDomain === upstream.failureDomain,
    );
    const picked = rendezvousPick(
      upstream.id,
      near.length > 0 ? near : nodes,
      node => node.identity,
      pollersPerUpstream,
    );
    return picked.some(node => node.identity === ownIdentity);
  }

  private async poll(upstream: Upstream): Promise<void> {
    const kind =
      upstream.kind === HostKind.SERVICE ? HostKind.SERVICE : HostKind.ENGINE;
    const observation = await REPORT_READERS[kind](upstream, this.connector);
    if (!observation) return;
    this.directory.applyObservation(observation);
    this.publish(observation);
  }

  private publish(observation: UpstreamObservation): void {
    const {upstreamId} = observation;
    const previous = this.publications.get(upstreamId);
    if (previous && !this.isNews(previous, observation)) return;
    const count = (previous?.count ?? 0) + 1;
    const atMilliseconds = performance.now();
    this.publications.set(upstreamId, {observation, atMilliseconds, count});
    const value = create(UpstreamObservationSchema, {
      upstreamId,
      upstreamStart: observation.start,
      inFlight: observation.inFlight,
      queued: observation.queued,
      leaving: observation.isLeaving,
      residentItems: [...observation.residentItems],
      publication: count,
    });
    this.table.own.set(observationKey(upstreamId), {
      case: 'observation',
      value,
    });
  }

  private isNews(previous: Publication, next: UpstreamObservation): boolean {
    const {observation, atMilliseconds} = previous;
    const age = performance.now() - atMilliseconds;
    if (age >= this.options.refreshMilliseconds) return true;
    if (observation.start !== next.start) return true;
    if (observation.isLeaving !== next.isLeaving) return true;
    if (observation.residentItems.join() !== next.residentItems.join()) {
      return true;
    }
    const before = observation.inFlight + observation.queued;
    const change = Math.abs(next.inFlight + next.queued - before);
    return change > PUBLISHED_LOAD_SHARE * Math.max(4, before);
  }

  /** Removes what this node published of upstreams it no longer polls. */
  private withdraw(assigned: readonly Upstream[]): void {
    const ids = new Set(assigned.map(({id}) => id));
    for (const upstreamId of this.publications.keys()) {
      if (ids.has(upstreamId)) continue;
      this.publications.delete(upstreamId);
      this.table.own.remove(observationKey(upstreamId));
    }
  }
}

function observationKey(upstreamId: string): string {
  return `observation/${upstreamId}`;
}
