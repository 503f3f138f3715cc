import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';

import {modelsHeldBy} from './model_replicas.js';
import {planTurn} from './turn_plan.js';

/** When a model that waits for a place gets one although others gain more. */
export interface WaitingTurnSettings {
  /** Wait of a model's requests from which it may get a turn. */
  readonly turnWaitMilliseconds: number;
  /** Least time between the beginnings of two turns of a service. */
  readonly turnSpacingMilliseconds: number;
  /**
   * Time for which a model that got a turn is not evicted, and for which another
   * one must have been held to be evicted for a turn.
   */
  readonly turnTenureMilliseconds: number;
}

/** A turn that has been given. */
interface GivenTurn {
  readonly model: string;
  readonly givenAtMilliseconds: number;
}

/**
 * Gives models of a service that have waited too long for a place a turn, one
 * after the other. The plan serves the models with the highest gain; with more
 * models in use than places, the others would wait for ever.
 */
export class WaitingTurns {
  /** Since when each engine holds its models, by engine and model. */
  private heldSinceMilliseconds = new Map<string, Map<string, number>>();
  private readonly givenAtMilliseconds = new Map<string, number>();
  private latest: GivenTurn | undefined;

  constructor(private readonly settings: WaitingTurnSettings) {}

  /**
   * Records what the engines hold, and adds the models that are pinned.
   */
  observe(engines: readonly PlannedEngine[]): PlannedEngine[] {
    const now = performance.now();
    const before = this.heldSinceMilliseconds;
    this.heldSinceMilliseconds = new Map(
      engines.map(({id, models}) => [
        id,
        new Map(models.map(name => [name, before.get(id)?.get(name) ?? now])),
      ]),
    );
    return engines.map(engine => ({
      ...engine,
      pinnedModels: new Set(
        engine.models.filter(name => this.isPinned(engine.id, name)),
      ),
    }));
  }

  /** The next turn, if one is due; the caller must carry it out. */
  next(
    models: readonly PlannedModel[],
    engines: readonly PlannedEngine[],
    parameters: ModelPlanParameters,
  ): ModelMove | undefined {
    const now = performance.now();
    const {turnSpacingMilliseconds, turnWaitMilliseconds} = this.settings;
    const isWaiting = models.some(
      ({waitedMilliseconds}) => waitedMilliseconds >= turnWaitMilliseconds,
    );
    if (!isWaiting) return undefined;
    if (this.latest) {
      const {model, givenAtMilliseconds} = this.latest;
      if (now - givenAtMilliseconds < turnSpacingMilliseconds) return undefined;
      if (isUnderWay(model, engines)) return undefined;
    }
    const candidates = engines.map(engine => ({
      ...engine,
      pinnedModels: new Set(
        engine.models.filter(name => !this.hasTenure(engine.id, name)),
      ),
    }));
    const move = planTurn(models, candidates, turnWaitMilliseconds, parameters);
    if (!move) return undefined;
    this.latest = {model: move.model, givenAtMilliseconds: now};
    this.givenAtMilliseconds.set(move.model, now);
    return move;
  }

  private hasTenure(engineId: string, model: string): boolean {
    const heldSince = this.heldSince(engineId, model);
    return (
      performance.now() - heldSince >= this.settings.turnTenureMilliseconds
    );
  }

  /** Whether the model was loaded on a turn and still has its tenure. */
  private isPinned(engineId: string, model: string): boolean {
    const givenAt = this.givenAtMilliseconds.get(model);
    return (
      givenAt !== undefined &&
      this.heldSince(engineId, model) >= givenAt &&
      !this.hasTenure(engineId, model)
    );
  }

  private heldSince(engineId: string, model: string): number {
    return this.heldSinceMilliseconds.get(engineId)?.get(model) ?? -Infinity;
  }
}

/** Whether an engine loads the model, or is about to. */
function isUnderWay(model: string, engines: readonly PlannedEngine[]): boolean {
  return engines.some(
    engine => !engine.models.includes(model) && modelsHeldBy(engine).has(model),
  );
}
