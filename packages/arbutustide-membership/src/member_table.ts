import type {
  Field,
  RecordDelta,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {MemberRecord} from './member_record.js';
import type {OwnRecord} from './own_record.js';

import {create} from '@bufbuild/protobuf';

import {RecordDeltaSchema} from './gen/arbutustide/membership/v1/membership_pb.js';

/** The highest sequence known of each record, by node identity. */
export type KnownSequences = ReadonlyMap<string, number>;

/** Kept for a dropped record, so that a late delta does not bring it back. */
interface RecordTombstone {
  readonly sequence: number;
  readonly droppedAtMilliseconds: number;
}

/**
 * The records of all known nodes. Each record has a single writer, and merging
 * keeps the highest sequence of each field, so exchanges may be lost, repeated
 * or reordered.
 */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  private readonly tombstones = new Map<string, RecordTombstone>();
  private peerChangeCount = 0;

  /**
   * @param expiryMilliseconds a peer's record is dropped when its sequence has
   *     not increased for this time, through any peer.
   */
  constructor(
    readonly ownRecord: OwnRecord,
    private readonly expiryMilliseconds: number,
  ) {}

  /**
   * Number of changes of the peers' records: new ones, new fields and drops.
   * Heartbeats, which change no field, do not count.
   */
  get peerChanges(): number {
    return this.peerChangeCount;
  }

  /** Records of the peers. */
  peerRecords(): Iterable<MemberRecord> {
    return this.records.values();
  }

  /** Returns the record of one peer, if known. */
  findRecord(identity: string): MemberRecord | undefined {
    return this.records.get(identity);
  }

  /** The highest sequence known of each record, including this node's. */
  sequences(): KnownSequences {
    const sequences = new Map([
      [this.ownRecord.identity, this.ownRecord.sequence],
    ]);
    for (const {identity, sequence} of this.records.values())
      sequences.set(identity, sequence);
    return sequences;
  }

  /** Returns the fields and heartbeats that a node with this vector lacks. */
  deltasSince(known: KnownSequences): RecordDelta[] {
    const deltas: RecordDelta[] = [];
    const {identity, sequence} = this.ownRecord;
    const own = deltaSince(identity, sequence, this.ownRecord.fields(), known);
    if (own) deltas.push(own);
    for (const record of this.records.values()) {
      const delta = deltaSince(
        record.identity,
        record.sequence,
        record.fields.values(),
        known,
      );
      if (delta) deltas.push(delta);
    }
    return deltas;
  }

  /**
   * Merges the deltas that a peer sent. Ignores one that begins after what is
   * known here, because the record was dropped meanwhile: it would leave a gap.
   */
  merge(deltas: readonly RecordDelta[]): void {
    const now = performance.now();
    for (const {identity, sequence, fields, since} of deltas) {
      const known = this.records.get(identity)?.sequence ?? 0;
      if (known >= since) this.mergeRecord(identity, sequence, fields, now);
    }
  }

  /** Merges the sequences of known records that have no new fields. */
  mergeHeartbeats(sequences: KnownSequences): void {
    const now = performance.now();
    for (const [identity, sequence] of sequences)
      if (this.records.has(identity))
        this.mergeRecord(identity, sequence, [], now);
  }

  /** Drops the records whose sequence did not increase in the expiry time. */
  dropExpired(): void {
    const now = performance.now();
    for (const peer of this.records.values()) {
      if (now - peer.updatedAtMilliseconds < this.expiryMilliseconds) continue;
      this.records.delete(peer.identity);
      this.peerChangeCount += 1;
      this.tombstones.set(peer.identity, {
        sequence: peer.sequence,
        droppedAtMilliseconds: now,
      });
    }
    this.pruneTombstones(now);
  }

  private mergeRecord(
    identity: string,
    sequence: number,
    fields: readonly Field[],
    now: number,
  ): void {
    if (identity === this.ownRecord.identity) return;
    const dropped = this.tombstones.get(identity);
    if (dropped && sequence <= dropped.sequence) return;
    let record = this.records.get(identity);
    if (record === undefined) {
      record = createRecord(identity, now);
      this.records.set(identity, record);
      this.peerChangeCount += 1;
    }
    if (sequence <= record.sequence) return;
    record.sequence = sequence;
    record.updatedAtMilliseconds = now;
    if (fields.length > 0) this.peerChangeCount += 1;
    for (const field of fields) mergeField(record, field);
  }

  /**
   * Drops tombstones older than twice the expiry time; by then every other node
   * has dropped the record too.
   */
  private pruneTombstones(now: number): void {
    const oldestKeptAt = now - 2 * this.expiryMilliseconds;
    for (const [identity, {droppedAtMilliseconds: atMilliseconds}] of this
      .tombstones) {
      if (atMilliseconds < oldestKeptAt) this.tombstones.delete(identity);
    }
  }
}

function createRecord(identity: string, now: number): MemberRecord {
  return {
    identity,
    sequence: 0,
    updatedAtMilliseconds: now,
    fields: new Map(),
  };
}

function mergeField(record: MemberRecord, field: Field): void {
  const current = record.fields.get(field.key);
  if (current && current.sequence >= field.sequence) return;
  record.fields.set(field.key, field);
}

function deltaSince(
  identity: string,
  sequence: number,
  fields: Iterable<Field>,
  known: KnownSequences,
): RecordDelta | undefined {
  const since = known.get(identity) ?? 0;
  if (sequence <= since) return undefined;
  const missing = [...fields].filter(field => field.sequence > since);
  return create(RecordDeltaSchema, {
    identity,
    sequence,
    fields: missing,
    since,
  });
}
