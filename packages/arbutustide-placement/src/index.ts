/** Planner lease and leadership, memory ledger and placement planning. */
export type {DemandSample} from './demand_tracker.js';
export type {IntentResolutionRules} from './ledger.js';
export type {StoredWorker} from './ledger_store.js';
export type {PlacementMove} from './move_log.js';
export type {PlannableWorker, PlanInput, PlannedOrder} from './plan_types.js';
export type {PlannerOptions, PlannerSurroundings} from './planner.js';
export type {
  LeadershipEnvironment,
  LeadershipSettings,
} from './planner_tenure.js';
export type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

export type {
  AdapterName,
  EngineAddress,
  EngineModel,
  EngineOrders,
  EngineState,
  HoldingOrder,
} from './fleet/engine_orders.js';
export type {ExpectedHolding} from './fleet/expected_holding.js';
export type {FleetPlannerSettings} from './fleet/fleet_planner.js';
export type {
  CataloguedModel,
  EngineService,
  FleetSurroundings,
  ListedEngine,
  PlannerDecision,
} from './fleet/fleet_surroundings.js';
export type {
  ModelMove,
  ModelPlanSettings,
  PlannedEngine,
  PlannedModel,
} from './fleet/model_plan.js';

export {DemandTracker} from './demand_tracker.js';
export {planAdapter} from './fleet/adapter_plan.js';
export {EngineBook} from './fleet/engine_book.js';
export {HoldingOrderAnswer} from './fleet/engine_orders.js';
export {FleetPlanner} from './fleet/fleet_planner.js';
export {PlannerStep} from './fleet/fleet_surroundings.js';
export {planModels} from './fleet/model_plan.js';
export {SuspensionGuard} from './fleet/suspension_guard.js';
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
export {LoadAllowance} from './load_allowance.js';
export {moveLogKey, parseMoves} from './move_log.js';
export {PlanReason} from './plan_types.js';
export {planPlacement} from './placement_plan.js';
export {Planner} from './planner.js';
export {leaseKey, parseLease, PlannerLease} from './planner_lease.js';
export {PlannerTenure} from './planner_tenure.js';
export {WORKER_PREFIX, workerKey, workerRecordSchema} from './worker_record.js';
