import type {ObjectStore} from '@arbutustide/object-store';

import type {PlannedOrder} from './plan_types.js';

import {OrderKind} from '@arbutustide/upstream';
import {z} from 'zod';

import {PlanReason} from './plan_types.js';

/** Number of latest moves that the stored log keeps. */
const MAXIMUM_STORED_MOVES = 200;

const moveSchema = z.strictObject({
  /** ISO 8601 time by the planner's clock; for display only. */
  time: z.string(),
  upstreamId: z.string(),
  kind: z.enum(OrderKind),
  item: z.string(),
  reason: z.enum(PlanReason),
  epoch: z.number().int(),
});

const moveLogSchema = z.strictObject({moves: z.array(moveSchema)});

/** An order sent by the planner, as listed to operators. */
export type PlacementMove = z.infer<typeof moveSchema>;

/** Store key of a region's move log. */
export function moveLogKey(region: string): string {
  return `planner/moves/${region}`;
}

/** Parses a stored move log; returns its moves, oldest first. */
export function parseMoves(value: unknown): PlacementMove[] {
  return moveLogSchema.parse(value).moves;
}

/** Appends orders to the move log; best effort, failed writes are ignored. */
export async function appendMoves(
  store: ObjectStore,
  region: string,
  orders: readonly PlannedOrder[],
  epoch: number,
): Promise<void> {
  const key = moveLogKey(region);
  const stored = await store.get(key);
  const storedMoves = stored.ok ? parseMoves(stored.val.value) : [];
  const time = new Date().toISOString();
  const newMoves = orders.map(({upstreamId, kind, item, reason}) => ({
    time,
    upstreamId,
    kind,
    item,
    reason,
    epoch,
  }));
  const value = {
    moves: [...storedMoves, ...newMoves].slice(-MAXIMUM_STORED_MOVES),
  };
  if (stored.ok) await store.update(key, value, stored.val.version);
  else await store.create(key, value);
}
