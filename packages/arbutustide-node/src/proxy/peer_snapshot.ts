import type {StoredObject} from '@arbutustide/object-store';

import {z} from 'zod';

import {storedObjectSchema} from './stored_object_schema.js';

/** State that a node gives to a peer that cannot read it from the store. */
const peerSnapshotSchema = z.object({
  /** Time since the store last answered about upstreams, in milliseconds. */
  ageMilliseconds: z.number(),
  configuration: storedObjectSchema.optional(),
  upstreams: z.array(storedObjectSchema),
});

export type PeerSnapshot = z.infer<typeof peerSnapshotSchema>;

/** Serializes what this node has read from the store as JSON. */
export function serializeSnapshot(
  configuration: StoredObject | undefined,
  upstreams: readonly StoredObject[],
  ageMilliseconds: number,
): string {
  const snapshot: PeerSnapshot = {
    // JSON has no infinity, the age before the first answer.
    ageMilliseconds: Math.min(
      Math.round(ageMilliseconds),
      Number.MAX_SAFE_INTEGER,
    ),
    configuration,
    upstreams: [...upstreams],
  };
  return JSON.stringify(snapshot);
}

/** Parses a snapshot; undefined if it is malformed. */
export function parseSnapshot(text: string): PeerSnapshot | undefined {
  try {
    return peerSnapshotSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
