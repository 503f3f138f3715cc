import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {randomUUID} from 'node:crypto';

import {StoreErrorKind, writeAndConfirm} from '@arbutustide/object-store';
import {z} from 'zod';

const leaseSchema = z.strictObject({
  /** Identity of the holding process; empty after a release. */
  holder: z.string(),
  /**
   * Increases with each change of holder, also over restores of the store;
   * fencing token of the holder's orders.
   */
  epoch: z.number().int(),
  /** Random ID of each write, to recognize it after a lost reply. */
  writeId: z.string(),
});

type Lease = z.infer<typeof leaseSchema>;

/** Store key of the planner's lease of a region. */
export function leaseKey(region: string): string {
  return `planner/lease/${region}`;
}

/**
 * The longest that one call to the store may take: a renewal is a write and, if
 * its outcome is unknown, a read, and both must end within the lease.
 */
export function maximumLeaseCallMilliseconds(
  leaseMilliseconds: number,
): number {
  return leaseMilliseconds / 2;
}

/** Returns whether the process that holds the lease has certainly ended. */
export type HolderProbe = (holder: string) => Promise<boolean>;

/**
 * Parses a stored lease for display to operators.
 *
 * @throws if the value does not match the schema.
 */
export function parseLease(value: unknown): Lease {
  return leaseSchema.parse(value);
}

/** Holder assumed for a stored lease that does not match the schema. */
const UNREADABLE_LEASE_HOLDER = 'unreadable';

/**
 * Returns the lease stored in an object. One that another writer corrupted
 * counts as held by an unknown process.
 */
function leaseFromObject({value, version}: StoredObject): Lease {
  const parsed = leaseSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  return {holder: UNREADABLE_LEASE_HOLDER, epoch: version, writeId: ''};
}

/**
 * The planner's lease of one region. Each process measures durations by its own
 * monotonic clock: a challenger takes over after it has observed the record
 * unchanged for one lease duration, and the holder counts its lease from before
 * it sent the renewal.
 *
 * An epoch is derived from the version that its first write replaces. Two
 * processes never gain the same epoch, and a later one is higher, also when a
 * restore of the store has brought back an earlier record. A lease gained in an
 * earlier era of the store is not held any more.
 */
export class PlannerLease {
  private observedVersion = -1;
  private observedSinceMilliseconds = 0;
  private heldVersion: number | undefined;
  private heldEpoch = 0;
  private validUntilMilliseconds = 0;
  private renewalSentMilliseconds = 0;
  private mustRenewFirst = false;
  private acquiredFromEndedHolder = false;
  private observedHolder = '';
  private takeoverDelayMilliseconds = 0;
  private isHolderOnRecordLast = true;

  constructor(
    private readonly store: ObjectStore,
    private readonly region: string,
    private readonly identity: string,
    private readonly leaseMilliseconds: number,
    private readonly hasEnded: HolderProbe = async () => false,
  ) {}

  /** Whether this process holds the lease at this moment. */
  get isHeld(): boolean {
    return (
      this.isOfCurrentEra(this.heldEpoch) &&
      performance.now() < this.validUntilMilliseconds
    );
  }

  /**
   * Whether this process wrote the lease last, as far as it knows, and is not
   * required to renew it first. The lease itself may have expired while the
   * store was unavailable.
   */
  get isLastKnownHolder(): boolean {
    return (
      this.heldVersion !== undefined &&
      !this.mustRenewFirst &&
      this.isOfCurrentEra(this.heldEpoch)
    );
  }

  /** Monotonic time just before the last successful renewal was sent. */
  get renewedAtMilliseconds(): number {
    return this.renewalSentMilliseconds;
  }

  /** Epoch of the lease that is held or was held last. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Whether the previous holder had released the lease or ended. */
  get hasPredecessorEnded(): boolean {
    return this.acquiredFromEndedHolder;
  }

  /**
   * Whether the holder on record was the last one. A restore of the store may
   * have lost the record of a later holder.
   */
  get isPredecessorKnown(): boolean {
    return this.isHolderOnRecordLast;
  }

  /**
   * Time after gaining the lease during which the previous holder may still
   * act, since it did not release the lease and may not know of this holder.
   */
  get takeoverWaitMilliseconds(): number {
    return this.takeoverDelayMilliseconds;
  }

  /** Treats the lease as not held until its next renewal. */
  invalidateUntilRenewed(): void {
    this.mustRenewFirst = true;
    this.validUntilMilliseconds = 0;
  }

  /** Identity of the holder last read from the store; empty if unknown. */
  get lastHolder(): string {
    return this.observedHolder;
  }

  /** Renews or tries to gain the lease; call several times per lease. */
  async acquireOrRenew(): Promise<void> {
    const sentAt = performance.now();
    if (this.heldVersion !== undefined && this.isOfCurrentEra(this.heldEpoch)) {
      // An unchanged version proves that no other process held it meanwhile.
      await this.renewHeldLease(this.heldVersion, sentAt);
      return;
    }
    this.heldVersion = undefined;
    const stored = await this.store.get(leaseKey(this.region));
    if (stored.ok) {
      await this.tryTakeOver(stored.val);
      return;
    }
    // While the store is unavailable, the holder can't renew the lease either,
    // so the observation starts again.
    this.observedVersion = -1;
    if (stored.val.kind !== StoreErrorKind.NOT_FOUND) return;
    await this.createLease(sentAt);
  }

  /** Releases the lease so that another node can take it immediately. */
  async release(): Promise<void> {
    if (this.heldVersion === undefined) return;
    const version = this.heldVersion;
    this.markLost();
    await this.store.update(
      leaseKey(this.region),
      {holder: '', epoch: this.heldEpoch, writeId: randomUUID()},
      version,
    );
  }

  private async tryTakeOver(stored: StoredObject): Promise<void> {
    const lease = leaseFromObject(stored);
    const now = performance.now();
    this.observedHolder = lease.holder;
    if (stored.version !== this.observedVersion) {
      this.observedVersion = stored.version;
      this.observedSinceMilliseconds = now;
    }
    const unchangedMilliseconds = now - this.observedSinceMilliseconds;
    // A restore of the store may have lost the records of later holders. None of
    // them holds the lease any more, as it was gained in an earlier era.
    const isLatestRecord = this.isOfCurrentEra(lease.epoch);
    const isReleased = isLatestRecord && lease.holder === '';
    const hasEnded =
      isReleased || (isLatestRecord && (await this.hasEnded(lease.holder)));
    const mayTakeOver =
      hasEnded ||
      !isLatestRecord ||
      unchangedMilliseconds >= this.leaseMilliseconds;
    if (!mayTakeOver) return;
    this.acquiredFromEndedHolder = hasEnded;
    this.isHolderOnRecordLast = isLatestRecord;
    // A holder that released the lease has stopped; any other may continue
    // until it learns of this epoch.
    const delayMilliseconds =
      this.leaseMilliseconds - (isReleased ? unchangedMilliseconds : 0);
    this.takeoverDelayMilliseconds = Math.max(0, delayMilliseconds);
    await this.writeLease(
      stored.version + 1,
      stored.version,
      performance.now(),
    );
  }

  /**
   * Creates the lease object, which is missing: no process has held the lease,
   * or a restore of the store has lost the object.
   */
  private async createLease(sentAt: number): Promise<void> {
    this.acquiredFromEndedHolder = false;
    this.isHolderOnRecordLast = false;
    this.takeoverDelayMilliseconds = this.leaseMilliseconds;
    await this.writeLease(this.store.eraStartVersion + 1, undefined, sentAt);
  }

  /** Whether an epoch or version was given out since the latest restore. */
  private isOfCurrentEra(epoch: number): boolean {
    return epoch >= this.store.eraStartVersion;
  }

  /**
   * Renews the lease. After a conflict, an earlier renewal whose reply was lost
   * may have been applied: its version is adopted, but the lease counts only
   * from a renewal that is known to have been applied.
   */
  private async renewHeldLease(version: number, sentAt: number): Promise<void> {
    const kind = await this.writeLease(this.heldEpoch, version, sentAt);
    if (kind !== StoreErrorKind.CONFLICT) return;
    const stored = await this.store.get(leaseKey(this.region));
    const lease = stored.ok ? leaseFromObject(stored.val) : undefined;
    const isOwn =
      lease?.holder === this.identity && lease.epoch === this.heldEpoch;
    if (!stored.ok || !isOwn) {
      this.markLost();
      return;
    }
    const retrySentAt = performance.now();
    await this.writeLease(this.heldEpoch, stored.val.version, retrySentAt);
  }

  /** Returns why the write failed, or undefined when the lease is held. */
  private async writeLease(
    epoch: number,
    version: number | undefined,
    sentAt: number,
  ): Promise<StoreErrorKind | undefined> {
    const lease: Lease = {
      holder: this.identity,
      epoch,
      writeId: randomUUID(),
    };
    const written = await writeAndConfirm(
      this.store,
      leaseKey(this.region),
      lease,
      version,
      value => leaseSchema.safeParse(value).data?.writeId === lease.writeId,
    );
    if (written.ok) {
      this.heldVersion = written.val.version;
      this.heldEpoch = epoch;
      this.mustRenewFirst = false;
      this.renewalSentMilliseconds = sentAt;
      this.validUntilMilliseconds = sentAt + this.leaseMilliseconds;
      return undefined;
    }
    return written.val.kind;
  }

  private markLost(): void {
    this.heldVersion = undefined;
    this.validUntilMilliseconds = 0;
  }
}
