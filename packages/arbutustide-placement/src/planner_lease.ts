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
const UNREADABLE_HOLDER = 'unreadable';

/**
 * The lease an object stands for. One that another writer spoilt counts as held
 * by somebody; its version exceeds every epoch, since each epoch took a write.
 */
function readLease({value, version}: StoredObject): Lease {
  const read = leaseSchema.safeParse(value);
  if (read.success) return read.data;
  return {holder: UNREADABLE_HOLDER, epoch: version, writeId: ''};
}

/**
 * The planner's lease of one region. Durations are measured by each side's own
 * monotonic clock: a challenger waits until it has seen the record unchanged
 * for a whole lease, and the holder counts from before it sent its renewal.
 */
export class PlannerLease {
  private seenVersion = -1;
  private seenSinceMilliseconds = 0;
  private heldVersion: number | undefined;
  private heldEpoch = 0;
  private validUntilMilliseconds = 0;
  private renewedAt = 0;
  private isFirstHolder = false;
  private isDistrusted = false;
  private isSuccessorOfEnded = false;
  private seenHolder = '';
  private settleTime = 0;

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
  get isUnchallenged(): boolean {
    return this.heldVersion !== undefined && !this.isDistrusted;
  }

  /** When the lease was last renewed, from before the write was sent. */
  get renewedAtMilliseconds(): number {
    return this.renewedAt;
  }

  /** Epoch of the lease held, or last held. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Whether the holder before had given the lease up or ended. */
  get hadEndedHolder(): boolean {
    return this.isSuccessorOfEnded;
  }

  /** Whether no process can have held the lease before this one. */
  get hadNoHolder(): boolean {
    return this.isFirstHolder;
  }

  /**
   * Time after the gain in which the previous holder may still act, since it
   * gave nothing up and has yet to hear of this one; in milliseconds.
   */
  get settleMilliseconds(): number {
    return this.settleTime;
  }

  /** Does not count on the lease until it has been renewed. */
  distrust(): void {
    this.isDistrusted = true;
    this.validUntilMilliseconds = 0;
  }

  /** Identity of the holder last read; empty when none is known. */
  get lastHolder(): string {
    return this.seenHolder;
  }

  /** Renews the lease, or tries to gain it; call several times a lease. */
  async maintain(): Promise<void> {
    const sentAt = performance.now();
    if (this.heldVersion !== undefined) {
      // Nobody else has held it while the version is the one written here.
      await this.renew(this.heldVersion, sentAt);
      return;
    }
    const stored = await this.store.get(leaseKey(this.region));
    if (stored.ok) {
      await this.challenge(stored.val);
      return;
    }
    // While the store is away its holder cannot renew the lease either.
    this.seenVersion = -1;
    if (stored.val.kind !== StoreErrorKind.NOT_FOUND) return;
    await this.write(1, undefined, sentAt);
    this.isFirstHolder = this.isHeld;
  }

  /** Gives the lease up so that another node can take it at once. */
  async release(): Promise<void> {
    if (this.heldVersion === undefined) return;
    const version = this.heldVersion;
    this.drop();
    await this.store.update(
      leaseKey(this.region),
      {holder: '', epoch: this.heldEpoch, writeId: randomUUID()},
      version,
    );
  }

  private async challenge(stored: StoredObject): Promise<void> {
    const lease = readLease(stored);
    const now = performance.now();
    this.seenHolder = lease.holder;
    if (stored.version !== this.seenVersion) {
      this.seenVersion = stored.version;
      this.seenSinceMilliseconds = now;
    }
    const unchangedFor = now - this.seenSinceMilliseconds;
    const isFree = lease.holder === '';
    const hasEnded = isFree || (await this.hasEnded(lease.holder));
    if (!hasEnded && unchangedFor < this.leaseMilliseconds) return;
    this.isFirstHolder = false;
    this.isSuccessorOfEnded = hasEnded;
    await this.write(lease.epoch + 1, stored.version, performance.now());
    // One that gave the lease up has stopped; one that did not may go on until
    // it hears of this epoch.
    const settled = this.leaseMilliseconds - (isFree ? unchangedFor : 0);
    this.settleTime = Math.max(0, settled);
  }

  /**
   * Renews the lease. An earlier renewal whose reply was lost may have landed;
   * its version is taken over, but the time it gave is not counted, since the
   * lease lasts only from before the renewal that is known to have landed.
   */
  private async renew(version: number, sentAt: number): Promise<void> {
    const kind = await this.write(this.heldEpoch, version, sentAt);
    if (kind !== StoreErrorKind.CONFLICT) return;
    const stored = await this.store.get(leaseKey(this.region));
    const lease = stored.ok ? readLease(stored.val) : undefined;
    const isOwn =
      lease?.holder === this.identity && lease.epoch === this.heldEpoch;
    if (!stored.ok || !isOwn) {
      this.drop();
      return;
    }
    const again = performance.now();
    await this.write(this.heldEpoch, stored.val.version, again);
  }

  /** Returns why the write failed, or undefined when the lease is held. */
  private async write(
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
      this.isDistrusted = false;
      this.renewedAt = sentAt;
      this.validUntilMilliseconds = sentAt + this.leaseMilliseconds;
      return undefined;
    }
    return written.val.kind;
  }

  private drop(): void {
    this.heldVersion = undefined;
    this.validUntilMilliseconds = 0;
  }
}
