/** Planner lease and leadership, memory ledger and placement planning. */
export type {DemandSample} from './demand_tracker.js';
export type {IntentResolutionRules} from './ledger.js';
export type {StoredWorker} from './ledger_store.js';
export type {PlacementMove} from './move_log.js';
export type {PlannableWorker, PlanInput, PlannedOrder} from './plan_types.js';
export type {PlannerOptions, PlannerEnvironment} from './planner.js';
export type {
  LeadershipEnvironment,
  LeadershipSettings,
} from './planner_leadership.js';
export type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

export type {
  AdapterKey,
  EngineAddress,
  HeldModel,
  EngineClient,
  EngineReport,
  HoldingOrder,
} from './engines/engine_client.js';
export type {ExpectedHolding} from './engines/expected_holding.js';
export type {EnginePlannerSettings} from './engines/engine_planner.js';
export type {
  CataloguedModel,
  EngineService,
  EnginePlannerEnvironment,
  ListedEngine,
  PassSummary,
  PlannerEvent,
} from './engines/engine_planner_environment.js';
export type {
  ModelMove,
  ModelPlanSettings,
  PlannedEngine,
  PlannedModel,
} from './engines/model_plan.js';

export {DemandTracker} from './demand_tracker.js';
export {planAdapterLoad} from './engines/adapter_plan.js';
export {EngineHoldingsTracker} from './engines/engine_holdings_tracker.js';
export {HoldingOrderAnswer} from './engines/engine_client.js';
export {EnginePlanner} from './engines/engine_planner.js';
export {PlannerStep} from './engines/engine_planner_environment.js';
export {UnloadedReason} from './engines/unloaded_models.js';
export {planModelMoves} from './engines/model_plan.js';
export {
  addIntent,
  applyOrderAnswer,
  applyReport,
  committedBytes,
  createWorkerRecord,
  freeBytes,
  hasIntent,
  isRetained,
} from './ledger.js';
export {LedgerStore} from './ledger_store.js';
export {LoadRateLimiter} from './load_rate_limiter.js';
export {moveLogKey, parseMoves} from './move_log.js';
export {PlanReason} from './plan_types.js';
export {planPlacement} from './placement_plan.js';
export {Planner} from './planner.js';
export {
  leaseKey,
  maximumLeaseCallMilliseconds,
  parseLease,
  PlannerLease,
} from './planner_lease.js';
export {PlannerLeadership} from './planner_leadership.js';
export {WORKER_PREFIX, workerKey, workerRecordSchema} from './worker_record.js';
