import type {CatalogueHolder} from '@arbutustide/catalogue';
import type {ClusterView} from '@arbutustide/membership';
import type {
  DemandSample,
  PlannedOrder,
  PlannerSurroundings,
} from '@arbutustide/placement';
import type {
  Admission,
  UpstreamConnector,
  UpstreamDirectory,
} from '@arbutustide/routing';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {Engine, PlatformHost} from '@arbutustide/upstream';

import type {HostWatcher} from './host_watcher.js';

import {EntryKind} from '@arbutustide/catalogue';
import {HostKind} from '@arbutustide/upstream';

/** What the planner sees of the node it runs on. */
export class NodePlannerSurroundings implements PlannerSurroundings {
  constructor(
    private readonly region: string,
    private readonly hosts: HostWatcher,
    private readonly directory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
    private readonly admission: Admission,
    private readonly view: ClusterView,
    private readonly catalogue: CatalogueHolder,
    private readonly logger: NodeLogger,
    private readonly metrics: NodeMetrics,
  ) {}

  engineHosts(): readonly PlatformHost[] {
    return this.hosts
      .hostsOf(HostKind.ENGINE)
      .filter(host => host.region === this.region);
  }

  engine(host: PlatformHost): Engine {
    const upstream = this.directory.get(host.id);
    if (!upstream) throw new Error(`${host.id} is not in the directory`);
    return this.connector.engine(upstream);
  }

  isLeaving(upstreamId: string): boolean {
    return this.directory.get(upstreamId)?.isLeaving ?? false;
  }

  /** Demand of each model; requests to its adapters count for the model. */
  demand(): readonly DemandSample[] {
    const catalogue = this.catalogue.current;
    if (!catalogue) return [];
    const own = new Map(
      [...this.admission.loads()].map(load => [load.entryName, load]),
    );
    return catalogue.entriesOf(EntryKind.MODEL).map(model => {
      const served = [model, ...catalogue.adaptersOf(model.name)];
      const concurrency = served.reduce((sum, {name}) => {
        const load = own.get(name);
        const peers = this.view.peerDemand(name);
        const here = (load?.inFlight ?? 0) + (load?.queued ?? 0);
        return sum + here + peers.inFlight + peers.queued;
      }, 0);
      return {entry: model.name, concurrency};
    });
  }

  onOrders(orders: readonly PlannedOrder[]): void {
    for (const {kind, reason, upstreamId, item} of orders) {
      this.metrics.orders.inc({kind, reason});
      this.logger.info({kind, reason, upstreamId, item}, 'order');
    }
  }

  onProblem(message: string): void {
    this.logger.warn({reason: message}, 'planner');
  }
}
