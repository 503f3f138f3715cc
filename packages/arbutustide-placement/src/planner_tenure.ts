import type {PlannerLease} from './planner_lease.js';

/** What a holder hears of the other nodes. */
export interface LeadershipEnvironment {
  /** Nodes heard of at present, this one included. */
  nodeCount(): number;
  /** Highest epoch of a planner that another node tells; zero for none. */
  otherPlannerEpoch(): number;
  /** Whether the process itself tells that it does not plan. */
  hasSteppedDown(identity: string): boolean;
}

/** How far a tenure may outlast its lease. */
export interface TenureSettings {
  /**
   * Whether engines refuse an order of an earlier epoch. Only then does a
   * planner go on without the store.
   */
  readonly areFencesChecked: boolean;
}

/**
 * Part of the nodes known at the last renewal that must still be heard of. A
 * holder that hears of fewer is cut off itself and knows too little of the
 * demand.
 */
const MINIMUM_LIVE_NODE_SHARE = 0.5;

/**
 * Whether this node plans. It answers outages of the store: models and adapters
 * must go on moving with the demand while no lease can be renewed. The last
 * holder goes on until it hears of a successor, is refused for a later epoch,
 * stood still, or lost touch with most nodes. A successor waits a whole lease
 * after it gained the lease, in which the holder before it hears of it.
 */
export class PlannerTenure {
  private liveNodesAtRenewal = 0;
  private observedRenewalMilliseconds: number | undefined;
  private observedEpoch: number | undefined;
  private takeoverEndMilliseconds = 0;

  constructor(
    private readonly lease: PlannerLease,
    private readonly environment: LeadershipEnvironment,
    private readonly settings: TenureSettings,
  ) {}

  /** Whether this node may plan at this moment. */
  checkActive(): boolean {
    const {lease, environment} = this;
    if (environment.otherPlannerEpoch() > lease.epoch) {
      // For good, though the successor may fall silent again.
      lease.distrust();
      return false;
    }
    this.recordRenewal();
    if (lease.isHeld) return true;
    return this.settings.areFencesChecked && this.mayContinueWithoutLease();
  }

  /** Epoch of the lease under which orders are given. */
  get epoch(): number {
    return this.lease.epoch;
  }

  /**
   * Whether the holder before gives no more orders. Its late ones are refused
   * by their fencing token.
   */
  get isSettled(): boolean {
    if (performance.now() >= this.takeoverEndMilliseconds) return true;
    if (!this.settings.areFencesChecked) return false;
    const {hasPredecessorEnded, lastHolder} = this.lease;
    return hasPredecessorEnded || this.environment.hasSteppedDown(lastHolder);
  }

  private recordRenewal(): void {
    const {renewedAtMilliseconds} = this.lease;
    if (renewedAtMilliseconds === this.observedRenewalMilliseconds) return;
    this.observedRenewalMilliseconds = renewedAtMilliseconds;
    const {epoch, settleMilliseconds} = this.lease;
    if (epoch !== this.observedEpoch) {
      this.observedEpoch = epoch;
      this.takeoverEndMilliseconds = renewedAtMilliseconds + settleMilliseconds;
    }
    this.liveNodesAtRenewal = this.environment.nodeCount();
  }

  private mayContinueWithoutLease(): boolean {
    if (!this.lease.isLastKnownHolder) return false;
    const liveNodes = this.environment.nodeCount();
    return liveNodes >= MINIMUM_LIVE_NODE_SHARE * this.liveNodesAtRenewal;
  }
}
