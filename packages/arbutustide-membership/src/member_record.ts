import type {
  Field,
  NodeStatus,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** What this node knows of another node. */
export interface MemberRecord {
  readonly identity: string;
  sequence: number;
  /** When the sequence last grew, by this node's monotonic clock. */
  heardAtMilliseconds: number;
  readonly fields: Map<string, Field>;
}

/** Key of the field that says who a node is. */
export const STATUS_KEY = 'status';

/** The status field of a record, once it has arrived. */
export function findNodeStatus(record: MemberRecord): NodeStatus | undefined {
  const value = record.fields.get(STATUS_KEY)?.value;
  return value?.case === 'status' ? value.value : undefined;
}
