import type {CatalogueRevision} from '@arbutustide/catalogue';
import type {OrderKind} from '@arbutustide/upstream';

import type {WorkerRecord} from './worker_record.js';

/** A worker as input to the plan. */
export interface PlannableWorker {
  readonly record: WorkerRecord;
  /** Whether new items may be loaded; false if unreachable or leaving. */
  readonly takesLoads: boolean;
}

/** Input of one planning pass. */
export interface PlanInput {
  readonly catalogue: CatalogueRevision;
  readonly workers: readonly PlannableWorker[];
  /** Concurrent requests for which an entry needs capacity. */
  readonly expectedDemand: (entry: string) => number;
  /** Concurrent requests one replica serves within its class's targets. */
  readonly replicaConcurrency: number;
  /** Concurrent requests each move must gain beyond those it gives up. */
  readonly moveCost: number;
  /** Whether an item has been on a worker for at least the minimum stay. */
  readonly hasMetMinimumStay: (upstreamId: string, item: string) => boolean;
  /** Number of loads the weight store's limits allow to start now. */
  readonly maximumNewLoads: number;
}

/** Why an order is sent; the reasons for loads are in descending priority. */
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

/** A planned load or unload of one item on one worker. */
export interface PlannedOrder {
  readonly upstreamId: string;
  readonly kind: OrderKind;
  /** As `name@version`. */
  readonly item: string;
  readonly memoryBytes: number;
  /** Model an adapter is loaded onto, as `name@version`. */
  readonly baseItem: string | undefined;
  readonly reason: PlanReason;
}
