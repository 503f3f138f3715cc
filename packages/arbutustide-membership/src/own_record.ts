import type {Field} from './gen/arbutustide/membership/v1/membership_pb.js';

import {create, equals} from '@bufbuild/protobuf';

import {FieldSchema} from './gen/arbutustide/membership/v1/membership_pb.js';

/** The value of a field, or a field without value when it was removed. */
export type FieldValue = Field['value'];

/** A field removed by its writer, kept until every receiver has seen it. */
interface FieldTombstone {
  readonly key: string;
  readonly removedAtMilliseconds: number;
}

/**
 * The record of this node, which it alone writes. Each write raises the
 * record's sequence, so that a receiver needs only the fields above the
 * sequence it has.
 */
export class OwnRecord {
  private readonly fieldsByKey = new Map<string, Field>();
  private readonly tombstones: FieldTombstone[] = [];
  private lastSequence = 0;

  /**
   * @param identity address and start id of this process.
   * @param tombstoneRetentionMilliseconds how long a removal is passed on.
   */
  constructor(
    readonly identity: string,
    private readonly tombstoneRetentionMilliseconds: number,
  ) {}

  /** Sequence of the latest write or heartbeat. */
  get sequence(): number {
    return this.lastSequence;
  }

  /** The value of a field, if it was written and not removed. */
  get(key: string): FieldValue | undefined {
    return this.fieldsByKey.get(key)?.value;
  }

  /** Fields written so far, removals included. */
  fields(): Iterable<Field> {
    return this.fieldsByKey.values();
  }

  /** Writes a field; an equal value changes nothing. */
  set(key: string, value: FieldValue): void {
    const current = this.fieldsByKey.get(key);
    const next = create(FieldSchema, {key, sequence: 0, value});
    if (current && isSameValue(current, next)) return;
    this.lastSequence += 1;
    next.sequence = this.lastSequence;
    this.fieldsByKey.set(key, next);
  }

  /** Removes a field; receivers learn of the removal. */
  remove(key: string): void {
    const current = this.fieldsByKey.get(key);
    if (current?.value.case === undefined) return;
    this.lastSequence += 1;
    const removed = create(FieldSchema, {key, sequence: this.lastSequence});
    this.fieldsByKey.set(key, removed);
    this.tombstones.push({key, removedAtMilliseconds: performance.now()});
  }

  /** Raises the sequence so that receivers see the node is alive. */
  beat(): void {
    this.lastSequence += 1;
    this.pruneTombstones();
  }

  private pruneTombstones(): void {
    const horizon = performance.now() - this.tombstoneRetentionMilliseconds;
    while (
      this.tombstones[0] &&
      this.tombstones[0].removedAtMilliseconds < horizon
    ) {
      const {key} = this.tombstones[0];
      this.tombstones.shift();
      const field = this.fieldsByKey.get(key);
      if (field?.value.case === undefined) this.fieldsByKey.delete(key);
    }
  }
}

function isSameValue(left: Field, right: Field): boolean {
  const comparable = create(FieldSchema, {...left, sequence: 0});
  return equals(FieldSchema, comparable, right);
}
