import type {Field} from './gen/arbutustide/membership/v1/membership_pb.js';

import {create} from '@bufbuild/protobuf';

import {FieldSchema} from './gen/arbutustide/membership/v1/membership_pb.js';
import {isSameMessageValue} from './message_values.js';

/** The value of a field; `case` is undefined when the field was removed. */
export type FieldValue = Field['value'];

/** A removed field, published until every receiver has seen the removal. */
interface FieldTombstone {
  readonly key: string;
  readonly removedAtMilliseconds: number;
}

/**
 * The record of this node; no other node writes it. Each write increments the
 * record's sequence, so a receiver needs only the fields above the sequence
 * that it has.
 */
export class OwnRecord {
  private readonly fieldsByKey = new Map<string, Field>();
  private readonly tombstones: FieldTombstone[] = [];
  private lastSequence = 0;

  /**
   * @param identity address and instance id of this process.
   * @param tombstoneRetentionMilliseconds how long the removal of a field is
   *     published.
   */
  constructor(
    readonly identity: string,
    private readonly tombstoneRetentionMilliseconds: number,
  ) {}

  /** Sequence of the latest write or heartbeat. */
  get sequence(): number {
    return this.lastSequence;
  }

  /**
   * Returns the value of a field: undefined when it was never written, without
   * a `case` when it was removed.
   */
  get(key: string): FieldValue | undefined {
    return this.fieldsByKey.get(key)?.value;
  }

  /** Fields written so far, including tombstones. */
  fields(): Iterable<Field> {
    return this.fieldsByKey.values();
  }

  /** Writes a field, unless it already has this value. */
  set(key: string, value: FieldValue): void {
    const current = this.fieldsByKey.get(key);
    if (current && isSameMessageValue(current.value, value)) return;
    this.lastSequence += 1;
    const {lastSequence: sequence} = this;
    this.fieldsByKey.set(key, create(FieldSchema, {key, sequence, value}));
  }

  /** Removes a field and publishes a tombstone in its place. */
  remove(key: string): void {
    const current = this.fieldsByKey.get(key);
    if (current?.value.case === undefined) return;
    this.lastSequence += 1;
    const tombstone = create(FieldSchema, {key, sequence: this.lastSequence});
    this.fieldsByKey.set(key, tombstone);
    this.tombstones.push({key, removedAtMilliseconds: performance.now()});
  }

  /** Increments the sequence, so that receivers see that the node is alive. */
  recordHeartbeat(): void {
    this.lastSequence += 1;
    this.pruneTombstones();
  }

  private pruneTombstones(): void {
    const oldestKeptAt =
      performance.now() - this.tombstoneRetentionMilliseconds;
    while (
      this.tombstones[0] &&
      this.tombstones[0].removedAtMilliseconds < oldestKeptAt
    ) {
      const {key} = this.tombstones[0];
      this.tombstones.shift();
      const field = this.fieldsByKey.get(key);
      if (field?.value.case === undefined) this.fieldsByKey.delete(key);
    }
  }
}
