import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {randomUUID} from 'node:crypto';

import {StoreErrorKind, writeConfirmed} from '@arbutustide/object-store';
import {z} from 'zod';

const leaseSchema = z.strictObject({
  /** Identity of the holding process; empty when given up. */
  holder: z.string(),
  /** Grows with every change of holder; the fencing number of its orders. */
  epoch: z.number().int(),
  /** Drawn for each write. */
  writeId: z.string(),
});

type Lease = z.infer<typeof leaseSchema>;

/** Store key of the planner's lease of a region. */
export function leaseKey(region: string): string {
  return `planner/lease/${region}`;
}

/** Tells whether the process that holds the lease has certainly ended. */
export type HolderProbe = (holder: string) => Promise<boolean>;

/** Reads a lease as stored, for operators. */
export function parseLease(value: unknown): Lease {
  return leaseSchema.parse(value);
}

/** Stands for the holder of a lease that cannot be read. */
const UNREADABLE_LEASE_HOLDER = 'unreadable';

/**
 * The lease an object stands for. One that another writer spoilt counts as held
 * by somebody; its version exceeds every epoch, since each epoch took a write.
 */
function leaseFromObject({value, version}: StoredObject): Lease {
  const parsed = leaseSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  return {holder: UNREADABLE_LEASE_HOLDER, epoch: version, writeId: ''};
}

/**
 * The planner's lease of one region. Durations are measured by each side's own
 * monotonic clock: a challenger waits until it has seen the record unchanged
 * for a whole lease, and the holder counts from before it sent its renewal.
 */
export class PlannerLease {
  private observedVersion = -1;
  private observedSinceMilliseconds = 0;
  private heldVersion: number | undefined;
  private heldEpoch = 0;
  private validUntilMilliseconds = 0;
  private renewalSentMilliseconds = 0;
  private acquiredAsFirstHolder = false;
  private mustRenewFirst = false;
  private acquiredFromEndedHolder = false;
  private observedHolder = '';
  private takeoverDelayMilliseconds = 0;

  constructor(
    private readonly store: ObjectStore,
    private readonly region: string,
    private readonly identity: string,
    private readonly leaseMilliseconds: number,
    private readonly hasEnded: HolderProbe = async () => false,
  ) {}

  /** Whether this process holds the lease at this moment. */
  get isHeld(): boolean {
    return performance.now() < this.validUntilMilliseconds;
  }

  /**
   * Whether this process wrote the lease last, as far as it knows: since then
   * the store was out of its reach, and nothing else spoke against it.
   */
  get isLastKnownHolder(): boolean {
    return this.heldVersion !== undefined && !this.mustRenewFirst;
  }

  /** When the lease was last renewed, from before the write was sent. */
  get renewedAtMilliseconds(): number {
    return this.renewalSentMilliseconds;
  }

  /** Epoch of the lease held, or last held. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Whether the holder before had given the lease up or ended. */
  get hasPredecessorEnded(): boolean {
    return this.acquiredFromEndedHolder;
  }

  /** Whether no process can have held the lease before this one. */
  get hadNoHolder(): boolean {
    return this.acquiredAsFirstHolder;
  }

  /**
   * Time after the gain in which the previous holder may still act, since it
   * gave nothing up and has yet to hear of this one; in milliseconds.
   */
  get settleMilliseconds(): number {
    return this.takeoverDelayMilliseconds;
  }

  /** Does not count on the lease until it has been renewed. */
  distrust(): void {
    this.mustRenewFirst = true;
    this.validUntilMilliseconds = 0;
  }

  /** Identity of the holder last read; empty when none is known. */
  get lastHolder(): string {
    return this.observedHolder;
  }

  /** Renews the lease, or tries to gain it; call several times a lease. */
  async maintain(): Promise<void> {
    const sentAt = performance.now();
    if (this.heldVersion !== undefined) {
      // Nobody else has held it while the version is the one written here.
      await this.renewHeldLease(this.heldVersion, sentAt);
      return;
    }
    const stored = await this.store.get(leaseKey(this.region));
    if (stored.ok) {
      await this.tryTakeOver(stored.val);
      return;
    }
    // While the store is away its holder cannot renew the lease either.
    this.observedVersion = -1;
    if (stored.val.kind !== StoreErrorKind.NOT_FOUND) return;
    await this.writeLease(1, undefined, sentAt);
    this.acquiredAsFirstHolder = this.isHeld;
  }

  /** Gives the lease up so that another node can take it at once. */
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
    const isReleased = lease.holder === '';
    const hasEnded = isReleased || (await this.hasEnded(lease.holder));
    if (!hasEnded && unchangedMilliseconds < this.leaseMilliseconds) return;
    this.acquiredAsFirstHolder = false;
    this.acquiredFromEndedHolder = hasEnded;
    await this.writeLease(lease.epoch + 1, stored.version, performance.now());
    // One that gave the lease up has stopped; one that did not may go on until
    // it hears of this epoch.
    const delayMilliseconds =
      this.leaseMilliseconds - (isReleased ? unchangedMilliseconds : 0);
    this.takeoverDelayMilliseconds = Math.max(0, delayMilliseconds);
  }

  /**
   * Renews the lease. An earlier renewal whose reply was lost may have landed;
   * its version is taken over, but the time it gave is not counted, since the
   * lease lasts only from before the renewal that is known to have landed.
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
    const written = await writeConfirmed(
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
