import type {CatalogueRevision} from '@arbutustide/catalogue';
import type {OrderKind} from '@arbutustide/upstream';

import type {WorkerRecord} from './worker_record.js';

/** A worker the planner can order now. */
export interface PlannableWorker {
  readonly record: WorkerRecord;
  /** Whether new items may be loaded there. */
  readonly takesLoads: boolean;
}

/** What the plan is made from. */
export interface PlanInput {
  readonly catalogue: CatalogueRevision;
  readonly workers: readonly PlannableWorker[];
  /** Requests at once an entry is to be ready for. */
  readonly expectedDemand: (entry: string) => number;
  /** Requests at once one replica serves within its class's targets. */
  readonly replicaConcurrency: number;
  /** Requests at once a move must serve beyond what it gives up. */
  readonly moveCost: number;
  /** Whether an item has been on a worker for the minimum stay. */
  readonly hasStayed: (upstreamId: string, item: string) => boolean;
  /** Loads that may be started now, by the weight store's limits. */
  readonly loadAllowance: number;
}

/** Why an order is given; also the order of importance. */
export enum PlanReason {
  UNREACHABLE = 'unreachable',
  MINIMUM = 'minimum',
  VERSION = 'version',
  ADAPTER = 'adapter',
  SPREAD = 'spread',
  DEMAND = 'demand',
  REMOVED = 'removed',
  ROOM = 'room',
}

/** An order the plan asks for. */
export interface PlannedOrder {
  readonly upstreamId: string;
  readonly kind: OrderKind;
  readonly item: string;
  readonly memoryBytes: number;
  readonly baseItem: string | undefined;
  readonly reason: PlanReason;
}
