import type {CatalogueHolder} from '@arbutustide/catalogue';
import type {ClusterView} from '@arbutustide/membership';
import type {
  DemandSample,
  PlannedOrder,
  PlannerEnvironment,
} from '@arbutustide/placement';
import type {
  AdmissionController,
  UpstreamConnector,
  UpstreamDirectory,
} from '@arbutustide/routing';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {Engine, PlatformHost} from '@arbutustide/upstream';

import type {HostWatcher} from './host_watcher.js';

import {EntryKind} from '@arbutustide/catalogue';
import {HostKind} from '@arbutustide/upstream';

/** Gives the planner access to the node on which it runs. */
export class NodePlannerEnvironment implements PlannerEnvironment {
  constructor(
    private readonly region: string,
    private readonly hostWatcher: HostWatcher,
    private readonly upstreamDirectory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
    private readonly admissionController: AdmissionController,
    private readonly clusterView: ClusterView,
    private readonly catalogueHolder: CatalogueHolder,
    private readonly logger: NodeLogger,
    private readonly metrics: NodeMetrics,
  ) {}

  engineHosts(): readonly PlatformHost[] {
    return this.hostWatcher
      .hostsOfKind(HostKind.ENGINE)
      .filter(host => host.region === this.region);
  }

  engine(host: PlatformHost): Engine {
    const upstream = this.upstreamDirectory.get(host.id);
    if (!upstream) throw new Error(`host ${host.id} is not a known upstream`);
    return this.connector.engine(upstream);
  }

  isLeaving(upstreamId: string): boolean {
    return this.upstreamDirectory.get(upstreamId)?.isLeaving ?? false;
  }

  /**
   * Requests in flight and queued for each model, on this node and its peers.
   * Requests to an adapter count for its base model.
   */
  sampleDemand(): readonly DemandSample[] {
    const catalogue = this.catalogueHolder.current;
    if (!catalogue) return [];
    const ownLoads = new Map(
      [...this.admissionController.loads()].map(load => [load.entryName, load]),
    );
    return catalogue.entriesOfKind(EntryKind.MODEL).map(model => {
      const entries = [model, ...catalogue.adaptersOfModel(model.name)];
      const concurrency = entries.reduce((sum, {name}) => {
        const load = ownLoads.get(name);
        const peerDemand = this.clusterView.peerDemand(name);
        const ownRequests = (load?.inFlight ?? 0) + (load?.queued ?? 0);
        return sum + ownRequests + peerDemand.inFlight + peerDemand.queued;
      }, 0);
      return {entry: model.name, concurrency};
    });
  }

  onOrdersStored(orders: readonly PlannedOrder[]): void {
    for (const {kind, reason, upstreamId, item} of orders) {
      this.metrics.plannerOrders.inc({kind, reason});
      this.logger.info({kind, reason, upstreamId, item}, 'order');
    }
  }

  onError(message: string): void {
    this.logger.warn({reason: message}, 'planner');
  }
}
