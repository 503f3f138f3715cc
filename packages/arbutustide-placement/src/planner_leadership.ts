import type {PlannerLease} from './planner_lease.js';

/** What this node knows of the other nodes through gossip. */
export interface LeadershipEnvironment {
  /** Number of live nodes, including this one. */
  liveNodeCount(): number;
  /** Highest planner epoch that another node announces; zero for none. */
  otherPlannerEpoch(): number;
  /** Whether the process itself announces that it does not plan. */
  hasSteppedDown(identity: string): boolean;
}

/** How far leadership may outlast the lease. */
export interface LeadershipSettings {
  /**
   * Whether engines refuse orders of an earlier epoch. Only then may a planner
   * continue while the store is unavailable.
   */
  readonly areFencesChecked: boolean;
}

/**
 * Share of the nodes live at the last renewal that must still be live. A holder
 * that sees fewer is partitioned itself and knows too little of the demand.
 */
const MINIMUM_LIVE_NODE_SHARE = 0.5;

/**
 * Decides whether this node plans. During an outage of the store no lease can
 * be renewed, but models and adapters must still follow demand. The last holder
 * therefore continues until it learns of a successor, an engine refuses its
 * order for a later epoch, its process was suspended, or it lost contact with
 * most nodes. A successor waits one lease duration after gaining the lease,
 * within which its predecessor learns of it.
 */
export class PlannerLeadership {
  private liveNodesAtRenewal = 0;
  private observedRenewalMilliseconds: number | undefined;
  private observedEpoch: number | undefined;
  private takeoverEndMilliseconds = 0;

  constructor(
    private readonly lease: PlannerLease,
    private readonly environment: LeadershipEnvironment,
    private readonly settings: LeadershipSettings,
  ) {}

  /** Whether this node may plan now; also records a renewal of the lease. */
  checkLeadership(): boolean {
    const {lease, environment} = this;
    if (environment.otherPlannerEpoch() > lease.epoch) {
      // Stays in force if the successor is no longer heard of, until the lease
      // is renewed.
      lease.invalidateUntilRenewed();
      return false;
    }
    this.recordRenewal();
    if (lease.isHeld) return true;
    return this.settings.areFencesChecked && this.mayContinueWithoutLease();
  }

  /** Epoch of the lease; the fencing token of this node's orders. */
  get epoch(): number {
    return this.lease.epoch;
  }

  /**
   * Whether the previous lease holder sends no more orders. Engines refuse its
   * late orders by their fencing token.
   */
  get hasPredecessorStopped(): boolean {
    if (performance.now() >= this.takeoverEndMilliseconds) return true;
    if (!this.settings.areFencesChecked) return false;
    if (!this.lease.isPredecessorKnown) return false;
    const {hasPredecessorEnded, lastHolder} = this.lease;
    return hasPredecessorEnded || this.environment.hasSteppedDown(lastHolder);
  }

  /** Time until the previous holder has certainly stopped. */
  get remainingTakeoverMilliseconds(): number {
    return Math.max(0, this.takeoverEndMilliseconds - performance.now());
  }

  private recordRenewal(): void {
    const {renewedAtMilliseconds} = this.lease;
    if (renewedAtMilliseconds === this.observedRenewalMilliseconds) return;
    this.observedRenewalMilliseconds = renewedAtMilliseconds;
    const {epoch, takeoverWaitMilliseconds: settleMilliseconds} = this.lease;
    if (epoch !== this.observedEpoch) {
      this.observedEpoch = epoch;
      this.takeoverEndMilliseconds = renewedAtMilliseconds + settleMilliseconds;
    }
    this.liveNodesAtRenewal = this.environment.liveNodeCount();
  }

  private mayContinueWithoutLease(): boolean {
    if (!this.lease.isLastKnownHolder) return false;
    const liveNodes = this.environment.liveNodeCount();
    return liveNodes >= MINIMUM_LIVE_NODE_SHARE * this.liveNodesAtRenewal;
  }
}
