import type {
  ModelMove,
  ModelPlanParameters,
  PlannedEngine,
  PlannedModel,
} from './model_plan.js';

import {isDeepStrictEqual} from 'node:util';

import {planModelMoves} from './model_plan.js';

/** All that the moves of a service depend on. */
interface PlanInput {
  readonly models: readonly PlannedModel[];
  readonly engines: readonly PlannedEngine[];
  readonly settings: ModelPlanParameters;
}

/**
 * Plans the moves of a service, unless nothing has changed since a plan without
 * moves. A plan with moves is made again, as what kept a load from starting may
 * have ended. Load: passes every 150 ms, most of which find nothing new.
 */
export class MovePlanner {
  /** Input of the latest plan, if it had no moves. */
  private settledInput: PlanInput | undefined;

  /** @param planMoves makes a plan, which depends on its arguments only. */
  constructor(private readonly planMoves = planModelMoves) {}

  plan(input: PlanInput): readonly ModelMove[] {
    if (isDeepStrictEqual(input, this.settledInput)) return [];
    const moves = [
      ...this.planMoves(input.models, input.engines, input.settings),
    ];
    this.settledInput = moves.length === 0 ? input : undefined;
    return moves;
  }
}
