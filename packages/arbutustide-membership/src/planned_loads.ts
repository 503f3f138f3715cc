import type {PlannedLoads} from './gen/arbutustide/membership/v1/membership_pb.js';

import {isCount, isOneLine, parseLines} from './node_activity.js';

/** Key of the field with the models that the planner expects to be held. */
export const PLANNED_LOADS_KEY = 'planned-loads';

const NO_ROOM = '-';

/** When each model will be held, by entry; Infinity if none has room for it. */
export type ExpectedLoads = ReadonlyMap<string, number>;

/** Formats times until models are held as lines READY_IN ENTRY. */
export function formatPlannedLoads(
  readyInMilliseconds: Iterable<readonly [string, number]>,
): string {
  const lines: string[] = [];
  for (const [entry, readyIn] of readyInMilliseconds) {
    const word = readyIn < Infinity ? Math.max(0, Math.ceil(readyIn)) : NO_ROOM;
    if (isOneLine(entry)) lines.push(`${word} ${entry}`);
  }
  return lines.join('\n');
}

/** Nodes have different clocks: a time counts from the first reading. */
const expectedByMessage = new WeakMap<PlannedLoads, ExpectedLoads>();

/** By the monotonic clock, in milliseconds; skips malformed lines. */
export function readPlannedLoads(message: PlannedLoads): ExpectedLoads {
  const known = expectedByMessage.get(message);
  if (known) return known;
  const now = performance.now();
  const expected = new Map<string, number>();
  for (const [[word], entry] of parseLines(message.loads, 1)) {
    if (word === NO_ROOM) expected.set(entry, Infinity);
    else if (isCount(Number(word))) expected.set(entry, now + Number(word));
  }
  expectedByMessage.set(message, expected);
  return expected;
}
