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
  selectByRendezvousHash,
  UpstreamObservationSchema,
} from '@arbutustide/membership';
import {HostKind} from '@arbutustide/upstream';
import {create} from '@bufbuild/protobuf';

/**
 * A load is published when it differs by more than this share from the load
 * published last.
 */
const MINIMUM_LOAD_CHANGE_SHARE = 0.25;

/** Options of `ReportPoller`. */
export interface ReportPollerOptions {
  readonly ownIdentity: string;
  readonly intervalMilliseconds: number;
  /** Age at which an unchanged observation is published again. */
  readonly republishAfterMilliseconds: number;
  readonly pollersPerUpstream: number;
}

/** The observation of an upstream that this node published last. */
interface Publication {
  readonly observation: UpstreamObservation;
  readonly publishedAtMilliseconds: number;
  /** Counts this node's publications for the upstream, from 1. */
  readonly publicationNumber: number;
}

/**
 * Fetches the report of an upstream and converts it to an observation. Returns
 * undefined if the report cannot be read.
 */
type ReportReader = (
  upstream: Upstream,
  connector: UpstreamConnector,
) => Promise<UpstreamObservation | undefined>;

const REPORT_READERS: Readonly<
  Record<HostKind.ENGINE | HostKind.SERVICE, ReportReader>
> = {
  async [HostKind.ENGINE](upstream, connector) {
    const atMilliseconds = performance.now();
    const report = await connector.engine(upstream).fetchReport();
    if (!report.ok) return undefined;
    const {engineStart, inFlight, queued, isLeaving, resident} = report.val;
    return {
      upstreamId: upstream.id,
      instanceId: engineStart,
      inFlight,
      queued,
      isLeaving,
      residentItems: resident
        .filter(({isDraining}) => !isDraining)
        .map(({item}) => item),
      readAtMilliseconds: atMilliseconds,
    };
  },
  async [HostKind.SERVICE](upstream, connector) {
    const atMilliseconds = performance.now();
    const report = await connector.service(upstream).fetchReport();
    if (!report.ok) return undefined;
    const {serviceStart, inFlight, isLeaving} = report.val;
    return {
      upstreamId: upstream.id,
      instanceId: serviceStart,
      inFlight,
      queued: 0,
      isLeaving,
      residentItems: [],
      readAtMilliseconds: atMilliseconds,
    };
  },
};

/**
 * Polls the reports of the upstreams assigned to this node, publishes them by
 * gossip, and applies the reports that other nodes publish. Each upstream is
 * polled by a fixed number of nodes, so that its polling load does not grow
 * with the number of nodes.
 */
export class ReportPoller {
  private readonly publications = new Map<string, Publication>();
  /** Latest applied field sequence, by writing node and upstream. */
  private readonly appliedSequences = new Map<string, number>();

  constructor(
    private readonly upstreamDirectory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
    private readonly memberTable: MemberTable,
    private readonly clusterView: ClusterView,
    private readonly options: ReportPollerOptions,
  ) {}

  /** Polls at each interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pollAssignedUpstreams();
      await delay(this.options.intervalMilliseconds, signal);
    }
  }

  /** Polls every upstream assigned to this node once. */
  async pollAssignedUpstreams(): Promise<void> {
    const nodes = this.clusterView.readyNodes();
    const upstreams = [...this.upstreamDirectory.all()];
    const assigned = upstreams.filter(upstream =>
      this.isAssigned(upstream, nodes),
    );
    this.removeUnassignedPublications(assigned);
    await Promise.all(assigned.map(upstream => this.pollUpstream(upstream)));
  }

  /** Applies new observations that other nodes have published. */
  applyPeerObservations(): void {
    const nowMilliseconds = performance.now();
    for (const received of this.clusterView.peerObservations()) {
      const {observation, sequence, writer} = received;
      const key = `${writer}/${observation.upstreamId}`;
      if (this.appliedSequences.get(key) === sequence) continue;
      this.appliedSequences.set(key, sequence);
      this.upstreamDirectory.applyObservation({
        upstreamId: observation.upstreamId,
        instanceId: observation.upstreamStart,
        inFlight: observation.inFlight,
        queued: observation.queued,
        isLeaving: observation.leaving,
        residentItems: observation.residentItems,
        readAtMilliseconds: nowMilliseconds,
      });
    }
  }

  /**
   * Whether this node polls the upstream. Rendezvous hashing selects
   * `pollersPerUpstream` nodes of the upstream's failure domain, or of all
   * nodes if that domain has none. An upstream without an observation is polled
   * by every node.
   */
  private isAssigned(
    upstream: Upstream,
    nodes: readonly ClusterNode[],
  ): boolean {
    const {ownIdentity, pollersPerUpstream} = this.options;
    if (!upstream.observation) return true;
    const sameDomainNodes = nodes.filter(
      node => node.failureDomain === upstream.failureDomain,
    );
    const pollers = selectByRendezvousHash(
      upstream.id,
      sameDomainNodes.length > 0 ? sameDomainNodes : nodes,
      node => node.identity,
      pollersPerUpstream,
    );
    return pollers.some(node => node.identity === ownIdentity);
  }

  private async pollUpstream(upstream: Upstream): Promise<void> {
    const kind =
      upstream.kind === HostKind.SERVICE ? HostKind.SERVICE : HostKind.ENGINE;
    const observation = await REPORT_READERS[kind](upstream, this.connector);
    if (!observation) return;
    this.upstreamDirectory.applyObservation(observation);
    this.publish(observation);
  }

  private publish(observation: UpstreamObservation): void {
    const {upstreamId} = observation;
    const previous = this.publications.get(upstreamId);
    if (previous && !this.shouldPublish(previous, observation)) return;
    const publicationNumber = (previous?.publicationNumber ?? 0) + 1;
    const publishedAtMilliseconds = performance.now();
    this.publications.set(upstreamId, {
      observation,
      publishedAtMilliseconds,
      publicationNumber,
    });
    const value = create(UpstreamObservationSchema, {
      upstreamId,
      upstreamStart: observation.instanceId,
      inFlight: observation.inFlight,
      queued: observation.queued,
      leaving: observation.isLeaving,
      residentItems: [...observation.residentItems],
      publication: publicationNumber,
    });
    this.memberTable.ownRecord.set(observationKey(upstreamId), {
      case: 'observation',
      value,
    });
  }

  /**
   * Whether to publish an observation: if the previous publication is too old,
   * the upstream restarted, its leaving state or resident items changed, or its
   * load changed enough. Loads below 4 count as 4 here, so that a change by a
   * single request is not published.
   */
  private shouldPublish(
    previous: Publication,
    next: UpstreamObservation,
  ): boolean {
    const {observation, publishedAtMilliseconds} = previous;
    const ageMilliseconds = performance.now() - publishedAtMilliseconds;
    if (ageMilliseconds >= this.options.republishAfterMilliseconds) return true;
    if (observation.instanceId !== next.instanceId) return true;
    if (observation.isLeaving !== next.isLeaving) return true;
    if (observation.residentItems.join() !== next.residentItems.join()) {
      return true;
    }
    const previousLoad = observation.inFlight + observation.queued;
    const loadChange = Math.abs(next.inFlight + next.queued - previousLoad);
    return loadChange > MINIMUM_LOAD_CHANGE_SHARE * Math.max(4, previousLoad);
  }

  /** Removes the publications of upstreams that this node no longer polls. */
  private removeUnassignedPublications(assigned: readonly Upstream[]): void {
    const assignedIds = new Set(assigned.map(({id}) => id));
    for (const upstreamId of this.publications.keys()) {
      if (assignedIds.has(upstreamId)) continue;
      this.publications.delete(upstreamId);
      this.memberTable.ownRecord.remove(observationKey(upstreamId));
    }
  }
}

function observationKey(upstreamId: string): string {
  return `observation/${upstreamId}`;
}
