import type {EngineEntry, EngineRegistry} from './engine_registry.js';
import type {
  CataloguedModel,
  EnginePlannerEnvironment,
  EngineService,
} from './engine_planner_environment.js';
import type {PlannedModel} from './model_plan.js';
import type {UnloadedModels} from './unloaded_models.js';

import {DemandTracker} from '../demand_tracker.js';

/** How demand is averaged, and what it is taken to be at first. */
export interface ModelDemandSettings {
  /** Averaging window that applies while demand rises. */
  readonly shortWindowMilliseconds: number;
  /** Averaging window that applies while demand falls. */
  readonly longWindowMilliseconds: number;
  /**
   * Initial demand for each engine beyond the first that holds a model, as a
   * fraction of the demand that one replica serves well.
   */
  readonly initialDemandShare: number;
  /**
   * Fraction of an engine's slots that the requests for one model may use
   * before another replica is added.
   */
  readonly replicaTargetUtilization: number;
}

/** Requests for a model over all nodes, as a pass found them. */
interface RequestCounts {
  readonly requests: number;
  readonly queued: number;
}

const NO_REQUESTS: RequestCounts = {requests: 0, queued: 0};

/** Tracks the demand for the models of each service. */
export class ModelDemand {
  private readonly trackers = new Map<string, DemandTracker>();
  /** By service and model; only models with requests. */
  private readonly counts = new Map<string, Map<string, RequestCounts>>();

  constructor(
    private readonly registry: EngineRegistry,
    private readonly unloaded: UnloadedModels,
    private readonly environment: EnginePlannerEnvironment,
    private readonly settings: ModelDemandSettings,
  ) {}

  /**
   * Samples the demand. Until there is traffic, the demand is estimated from
   * what the engines hold.
   */
  sample({name, models, slots}: EngineService): void {
    const demand = this.trackerOf(name);
    const entries = this.registry.entriesOfService(name);
    const counts = this.readCounts(name, models);
    this.counts.set(name, counts);
    if (!this.registry.areHoldingsKnown(name)) return;
    const holderCounts = countHolders(entries);
    const samples = models.map(model => ({
      entry: `${name}/${model.name}`,
      concurrency: counts.get(model.name)?.requests ?? 0,
    }));
    for (const [index, {entry}] of samples.entries()) {
      const holders = holderCounts.get(models[index].name) ?? 0;
      demand.assumeInitial(entry, this.initialDemand(slots, holders));
    }
    if (counts.size > 0) demand.recordSamples(samples);
  }

  /** Requests for a model at the latest sample. */
  countsOf(service: string, model: string): RequestCounts {
    return this.counts.get(service)?.get(model) ?? NO_REQUESTS;
  }

  /** Models with requests at the latest sample. */
  requestedModels(service: string): Iterable<string> {
    return this.counts.get(service)?.keys() ?? [];
  }

  /** A model with its demand, as the input of the plan. */
  plannedModel(service: string, catalogued: CataloguedModel): PlannedModel {
    const {name} = catalogued;
    const entry = `${service}/${name}`;
    const demand = this.trackerOf(service);
    return {
      ...catalogued,
      expectedDemand: demand.expectedConcurrency(entry),
      peakDemand: demand.recentPeak(entry),
      queuedRequests: this.countsOf(service, name).queued,
      waitedMilliseconds: this.unloaded.waitedMilliseconds(service, name),
    };
  }

  private readCounts(
    service: string,
    models: readonly CataloguedModel[],
  ): Map<string, RequestCounts> {
    const counts = new Map<string, RequestCounts>();
    for (const {name} of models) {
      const requests = this.environment.countRequests(service, name);
      if (requests === 0) continue;
      const queued = this.environment.countQueuedRequests(service, name);
      counts.set(name, {requests, queued});
    }
    return counts;
  }

  /** Initial demand for a model: more holders suggest more past demand. */
  private initialDemand(slots: number, holders: number): number {
    const {initialDemandShare, replicaTargetUtilization} = this.settings;
    return (
      Math.max(0, holders - 1) *
      initialDemandShare *
      replicaTargetUtilization *
      slots
    );
  }

  private trackerOf(service: string): DemandTracker {
    const existing = this.trackers.get(service);
    if (existing) return existing;
    const demand = new DemandTracker(
      this.settings.shortWindowMilliseconds,
      this.settings.longWindowMilliseconds,
    );
    this.trackers.set(service, demand);
    return demand;
  }
}

/** Number of engines that hold each model. */
function countHolders(entries: Iterable<EngineEntry>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {holdings} of entries)
    for (const model of holdings.heldModels)
      counts.set(model, (counts.get(model) ?? 0) + 1);
  return counts;
}
