/** The planner: its lease, the memory ledger and placement decisions. */
export type {DemandSample} from './demand_tracker.js';
export type {SettlementRules} from './ledger.js';
export type {StoredWorker} from './ledger_store.js';
export type {Move} from './move_log.js';
export type {PlannableWorker, PlanInput, PlannedOrder} from './plan_types.js';
export type {PlannerOptions, PlannerSurroundings} from './planner.js';
export type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

export {DemandTracker} from './demand_tracker.js';
export {
  committedBytes,
  freeBytes,
  hasIntent,
  isHeld,
  newWorkerRecord,
  withAnswer,
  withIntent,
  withReport,
} from './ledger.js';
export {LedgerStore} from './ledger_store.js';
export {LoadAllowance} from './load_allowance.js';
export {moveLogKey, parseMoves} from './move_log.js';
export {PlanReason} from './plan_types.js';
export {planPlacement} from './placement_plan.js';
export {Planner} from './planner.js';
export {leaseKey, parseLease, PlannerLease} from './planner_lease.js';
export {WORKER_PREFIX, workerKey, workerRecordSchema} from './worker_record.js';
