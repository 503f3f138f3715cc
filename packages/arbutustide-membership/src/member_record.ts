import type {
  Field,
  NodeStatus,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** The record of one peer, as far as this node has received it. */
export interface MemberRecord {
  /** Identity of the peer's process: its address and instance id. */
  readonly identity: string;
  /** Highest sequence received; every write and heartbeat increments it. */
  sequence: number;
  /** Time the sequence last increased, by this node's monotonic clock. */
  updatedAtMilliseconds: number;
  /** Fields by key, including tombstones of removed fields. */
  readonly fields: Map<string, Field>;
}

/** Key of the field with the node's status. */
export const NODE_STATUS_KEY = 'status';

/** Returns the node status in a record, or undefined before it arrived. */
export function findNodeStatus(record: MemberRecord): NodeStatus | undefined {
  const value = record.fields.get(NODE_STATUS_KEY)?.value;
  return value?.case === 'status' ? value.value : undefined;
}
