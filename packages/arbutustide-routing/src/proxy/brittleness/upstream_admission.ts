import type {BrittleTerms} from './brittle_terms.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A request that the upstream may still turn away. */
export interface PendingAdmission {
  /** Records that the upstream has begun to answer, or turned it away. */
  settle(isRejected: boolean): void;
}

/**
 * Keeps the rejections of one brittle upstream below what it survives, whatever
 * the other nodes do, as each node keeps to its part.
 */
export class UpstreamAdmission {
  private readonly createdAtMilliseconds = performance.now();
  private pendingCount = 0;
  private lastRejectedAtMilliseconds = -Infinity;
  /** Position of this node in the time after the upstream's start. */
  private startShare: number | undefined;

  /** Records that a request is sent. */
  begin(): PendingAdmission {
    this.pendingCount += 1;
    let isPending = true;
    return {
      settle: isRejected => {
        if (isRejected) this.lastRejectedAtMilliseconds = performance.now();
        if (!isPending) return;
        isPending = false;
        this.pendingCount -= 1;
      },
    };
  }

  /**
   * Whether another request may be sent to the upstream while it is brittle.
   *
   * @param slots requests that it runs at the same time.
   */
  allowsRequest(slots: number, terms: BrittleTerms): boolean {
    const {allowedRejectionsPerSecond, senderCount, isGated, random} = terms;
    const ownShare = isGated ? slots : allowedRejectionsPerSecond;
    const ownLimit = Math.max(1, Math.floor(ownShare / senderCount));
    if (this.pendingCount >= ownLimit) return false;
    const now = performance.now();
    const spanMilliseconds =
      (MILLISECONDS_PER_SECOND * senderCount) / allowedRejectionsPerSecond;
    if (now < this.lastRejectedAtMilliseconds + spanMilliseconds) return false;
    this.startShare ??= random();
    const startMilliseconds =
      this.createdAtMilliseconds + this.startShare * spanMilliseconds;
    return now >= startMilliseconds;
  }
}
