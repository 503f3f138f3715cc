import type {EngineRegistry} from './engine_registry.js';
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

/** Tracks the demand for the models of each service. */
export class ModelDemand {
  private readonly trackers = new Map<string, DemandTracker>();

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
    const samples = models.map(model => ({
      entry: `${name}/${model.name}`,
      concurrency: this.environment.countRequests(name, model.name),
    }));
    if (!this.registry.areHoldingsKnown(name)) return;
    for (const [index, {entry}] of samples.entries()) {
      const holders = entries.filter(({holdings}) =>
        holdings.holdsModel(models[index].name),
      );
      demand.assumeInitial(entry, this.initialDemand(slots, holders.length));
    }
    if (samples.some(({concurrency}) => concurrency > 0)) {
      demand.recordSamples(samples);
    }
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
      queuedRequests: this.environment.countQueuedRequests(service, name),
      waitedMilliseconds: this.unloaded.waitedMilliseconds(service, name),
    };
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
