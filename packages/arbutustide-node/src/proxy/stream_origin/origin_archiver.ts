import type {
  ObjectStore,
  StoredObject,
  StoreError,
} from '@arbutustide/object-store';
import type {StreamOrigin, StreamOriginRecord} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {StreamOriginStorage} from './stream_origin_storage.js';

import {delay} from '@arbutustide/errors';
import {Ok} from 'ts-results';

import {digestRequestId} from './request_digest.js';

/**
 * Time between two writes. Together with the batches of the nodes it bounds the
 * age of what is lost with all nodes, as streams last a few seconds only.
 */
const WRITE_INTERVAL_MILLISECONDS = 200;
/** Pause after a call that the store has not served. */
const RETRY_MILLISECONDS = 1_000;
/** Objects of one archiver, which it overwrites in turn. */
const SLOTS = 24;
/**
 * Slots that hold the streams of one stream lifetime. The others are for
 * archivers that replace one another, as each begins with the oldest slot.
 */
const SLOTS_PER_LIFETIME = 16;
/** Keeps an object at 110 KB; the store takes up to 1 MiB. */
const MAXIMUM_SLOT_RECORDS = 10_000;
/** Bounds the memory while the store is down. */
const MAXIMUM_PENDING_RECORDS = 20_000;

interface PendingRecord {
  readonly origin: StreamOrigin;
  readonly digest: string;
  readonly recordedAtMilliseconds: number;
}

interface Slot {
  readonly key: string;
  readonly begunAtMilliseconds: number;
  records: PendingRecord[];
}

/** Dependencies of the archiver. */
export interface OriginArchiverOptions {
  readonly store: ObjectStore;
  readonly storage: StreamOriginStorage;
  /**
   * The archivers have a ring of objects each. Two that choose the same one for
   * a while notice it by their conflicts.
   */
  readonly chooseRing: () => number;
  /** Longest time that a stream may last, in milliseconds. */
  readonly streamLifetimeMilliseconds: () => number;
  readonly logger: NodeLogger;
}

/**
 * Writes origins of streams to a ring of objects in the store. One object takes
 * the records of some seconds, then the oldest one is overwritten.
 */
export class OriginArchiver {
  private pending: PendingRecord[] = [];
  private slot: Slot | undefined;
  /** Versions of the ring's objects; undefined until they are listed. */
  private versionByKey: Map<string, number> | undefined;
  private isScheduled = false;
  private writtenAtMilliseconds = -Infinity;

  constructor(private readonly options: OriginArchiverOptions) {}

  /** Adds a record to the next write. */
  add({requestId, origin}: StreamOriginRecord): void {
    const digest = digestRequestId(requestId);
    const recordedAtMilliseconds = performance.now();
    this.pending.push({origin, digest, recordedAtMilliseconds});
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.writeWhilePending();
  }

  private async writeWhilePending(): Promise<void> {
    while (this.pending.length > 0) {
      const sinceWrite = performance.now() - this.writtenAtMilliseconds;
      await delay(Math.max(0, WRITE_INTERVAL_MILLISECONDS - sinceWrite));
      this.writtenAtMilliseconds = performance.now();
      const written = await this.writeToSlot();
      if (written.ok) continue;
      this.requeue();
      this.options.logger.info(
        {records: this.pending.length, reason: written.val.message},
        'failed to archive where streams began; trying again',
      );
      if (written.val.isOutage) await delay(RETRY_MILLISECONDS);
    }
    this.isScheduled = false;
  }

  private async writeToSlot(): Promise<Result<StoredObject, StoreError>> {
    const {store, storage} = this.options;
    const versions = await this.readRing();
    if (!versions.ok) return versions;
    const versionByKey = versions.val;
    if (!this.slot || this.isFull(this.slot))
      this.slot = this.beginSlot(versionByKey);
    const {slot} = this;
    slot.records.push(...this.pending);
    this.pending = [];
    const value = storage.encodeArchive([...groupByOrigin(slot.records)]);
    const version = versionByKey.get(slot.key);
    const written =
      version === undefined
        ? await store.create(slot.key, value)
        : await store.update(slot.key, value, version);
    if (written.ok) versionByKey.set(slot.key, written.val.version);
    return written;
  }

  /** Returns what is not known to be in the store to the records to write. */
  private requeue(): void {
    const oldest =
      performance.now() - this.options.streamLifetimeMilliseconds();
    this.pending = [...(this.slot?.records ?? []), ...this.pending]
      .filter(({recordedAtMilliseconds}) => recordedAtMilliseconds >= oldest)
      .slice(-MAXIMUM_PENDING_RECORDS);
    this.slot = undefined;
    this.versionByKey = undefined;
  }

  /** Versions of the objects of this archiver's ring. */
  private async readRing(): Promise<Result<Map<string, number>, StoreError>> {
    if (this.versionByKey) return Ok(this.versionByKey);
    const {store, storage, chooseRing} = this.options;
    const list = await store.list(storage.archivePrefix);
    if (!list.ok) return list;
    const versionByListedKey = new Map(
      list.val.objects.map(({key, version}) => [key, version]),
    );
    const ring = chooseRing();
    this.versionByKey = new Map();
    for (let index = 0; index < SLOTS; index += 1) {
      const key = `${storage.archivePrefix}${ring}.${index}`;
      // Zero for one that does not exist, which is used first.
      this.versionByKey.set(key, versionByListedKey.get(key) ?? 0);
    }
    return Ok(this.versionByKey);
  }

  private beginSlot(versionByKey: Map<string, number>): Slot {
    const [[key, version]] = [...versionByKey].sort(
      ([, left], [, right]) => left - right,
    );
    if (version === 0) versionByKey.delete(key);
    return {key, begunAtMilliseconds: performance.now(), records: []};
  }

  private isFull({begunAtMilliseconds, records}: Slot): boolean {
    const age = performance.now() - begunAtMilliseconds;
    const lifetime = this.options.streamLifetimeMilliseconds();
    return (
      age >= lifetime / SLOTS_PER_LIFETIME ||
      records.length >= MAXIMUM_SLOT_RECORDS
    );
  }
}

function* groupByOrigin(records: readonly PendingRecord[]) {
  const groups = new Map<string, StreamOrigin & {digests: string[]}>();
  for (const {origin, digest} of records) {
    const key = `${origin.service} ${origin.softwareVersion}`;
    const group = groups.get(key) ?? {...origin, digests: []};
    groups.set(key, group);
    group.digests.push(digest);
  }
  for (const {digests, ...origin} of groups.values())
    yield {...origin, digests: digests.join('')};
}
