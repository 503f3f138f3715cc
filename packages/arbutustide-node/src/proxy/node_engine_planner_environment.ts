import type {ClusterView, MemberTable} from '@arbutustide/membership';
import type {
  EngineService,
  EnginePlannerEnvironment,
  ListedEngine,
  PlannerEvent,
} from '@arbutustide/placement';
import type {
  DemandCounter,
  EngineDescription,
  ProxyUpstreamDirectory,
  ProxyUpstream,
  ServingConfiguration,
} from '@arbutustide/routing';

import type {WantedModels} from './holdings/wanted_models.js';

import {
  formatPlannedLoads,
  PLANNED_LOADS_KEY,
  PlannedLoadsSchema,
  readPlannedLoads,
  UpstreamHoldingsSchema,
} from '@arbutustide/membership';
import {adapterEntryName, modelEntryName} from '@arbutustide/routing';
import {create} from '@bufbuild/protobuf';

/** Holdings of an engine's process, and the lease under which they were told. */
interface PublishedHoldings {
  readonly held: readonly string[];
  readonly startedAt: number;
  readonly epoch: number;
}

/**
 * Connects the engine planner to its node: gives it the engines, services and
 * demand over all nodes, and publishes its results in this node's record.
 */
export class NodeEnginePlannerEnvironment implements EnginePlannerEnvironment {
  /** What this node's record says of each engine, by id. */
  private readonly publishedHoldings = new Map<string, PublishedHoldings>();
  private cachedConfiguration: ServingConfiguration | undefined;
  private cachedServices: EngineService[] = [];

  constructor(
    private readonly directory: ProxyUpstreamDirectory,
    private readonly demandCounter: DemandCounter,
    private readonly memberTable: MemberTable,
    private readonly clusterView: ClusterView,
    private readonly wantedModels: WantedModels,
    private readonly getConfiguration: () => ServingConfiguration | undefined,
    readonly broadcastHoldings: () => void,
    readonly recordEvent: (decision: PlannerEvent) => void,
  ) {}

  *listEngines(): Generator<ListedEngine> {
    const services = new Set(this.listServices().map(({name}) => name));
    for (const upstream of this.directory.all()) {
      if (services.has(upstream.description.service)) {
        yield toListedEngine(upstream);
      }
    }
  }

  listServices(): EngineService[] {
    const configuration = this.getConfiguration();
    if (configuration === this.cachedConfiguration) return this.cachedServices;
    this.cachedConfiguration = configuration;
    this.cachedServices = [...(configuration?.services.values() ?? [])].flatMap(
      ({name, engine}) => (engine ? [toEngineService(name, engine)] : []),
    );
    return this.cachedServices;
  }

  countRequests(service: string, model: string): number {
    const {inFlight, queued} = this.sumDemand(modelEntryName(service, model));
    return inFlight + queued;
  }

  countQueuedRequests(service: string, model: string): number {
    return this.sumDemand(modelEntryName(service, model)).queued;
  }

  isAdapterInUse(service: string, model: string, adapter: string): boolean {
    const demand = this.sumDemand(adapterEntryName(service, model, adapter));
    return demand.inFlight + demand.queued > 0;
  }

  publishHoldings(
    {id, startedAt}: ListedEngine,
    held: readonly string[] | undefined,
    epoch: number,
  ): void {
    const key = `holdings/${id}`;
    this.directory.get(id)?.setPlannedHoldings(held);
    if (!held) {
      this.publishedHoldings.delete(id);
      this.memberTable.ownRecord.remove(key);
      return;
    }
    const published = this.publishedHoldings.get(id);
    const isPublished =
      published?.held === held &&
      published.startedAt === startedAt &&
      published.epoch === epoch;
    if (isPublished) return;
    this.publishedHoldings.set(id, {held, startedAt, epoch});
    const value = create(UpstreamHoldingsSchema, {
      upstreamId: id,
      upstreamStartedAt: BigInt(startedAt),
      epoch,
      held: [...held],
    });
    this.memberTable.ownRecord.set(key, {case: 'holdings', value});
  }

  publishExpectedLoads(
    readyInMilliseconds: ReadonlyMap<string, number> | undefined,
    epoch: number,
  ): void {
    const {ownRecord} = this.memberTable;
    if (!readyInMilliseconds) {
      ownRecord.remove(PLANNED_LOADS_KEY);
      return;
    }
    const loads = formatPlannedLoads(readyInMilliseconds);
    const value = create(PlannedLoadsSchema, {epoch, loads});
    // Read now, as its times count from now at this node too.
    readPlannedLoads(value);
    ownRecord.set(PLANNED_LOADS_KEY, {case: 'plannedLoads', value});
  }

  private sumDemand(entry: string) {
    const own = this.demandCounter.demandFor(entry);
    const peers = this.clusterView.peerDemand(entry);
    const inFlight = (own?.inFlight ?? 0) + peers.inFlight;
    const queued = (own?.queued ?? 0) + peers.queued;
    // A call of a peer comes before its record does.
    const isOnlyCalledFor = inFlight + queued === 0;
    return {
      inFlight,
      queued: isOnlyCalledFor ? this.wantedModels.count(entry) : queued,
    };
  }
}

function toListedEngine(upstream: ProxyUpstream): ListedEngine {
  const {description} = upstream;
  return {
    id: upstream.id,
    address: description.address,
    service: description.service,
    failureDomain: description.failureDomain,
    softwareVersion: description.softwareVersion,
    startedAt: description.startedAt,
    isReady: upstream.isReady,
    acceptsCalls: upstream.remainingBackOffMilliseconds === 0,
    inFlight: upstream.estimatedInFlight,
    requestsPerSecond: upstream.rateLimit.observation.requestsPerSecond,
    modelsInMemory: new Set(description.modelsInMemory),
    modelsOnDisk: new Set(description.modelsOnDisk),
  };
}

function toEngineService(
  name: string,
  engine: EngineDescription,
): EngineService {
  const {models} = engine;
  return {
    name,
    weightMegabytes: engine.weightCapacityMegabytes,
    adapterSlots: engine.adapterSlots,
    storeLoadsPerSecond: engine.storeLoadsPerSecond,
    slots: engine.slots,
    modelMegabytes: model => models.get(model)?.sizeMegabytes,
    adapterMegabytes: model => models.get(model)?.adapterMegabytes ?? 0,
    models: [...models.values()].map(model => ({
      name: model.name,
      megabytes: model.sizeMegabytes,
      storeLoadMilliseconds: model.storeLoadMilliseconds,
      diskLoadMilliseconds: model.diskLoadMilliseconds,
      memoryLoadMilliseconds: model.memoryLoadMilliseconds,
    })),
  };
}
