import type {EngineReport, PlatformHost} from '@arbutustide/upstream';

import type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

import {invariant} from '@arbutustide/errors';
import {OrderKind} from '@arbutustide/upstream';

/** What decides whether an order can no longer take effect. */
export interface SettlementRules {
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Whether the engine's longest order delay has passed for an order. */
  readonly isPastDelay: (orderId: string) => boolean;
}

/** The record of a worker seen for the first time. */
export function newWorkerRecord(
  host: Pick<PlatformHost, 'id' | 'failureDomain'>,
  report: EngineReport,
): WorkerRecord {
  return {
    upstreamId: host.id,
    failureDomain: host.failureDomain,
    engineStart: report.engineStart,
    memoryBytes: report.memoryBytes,
    acceleratorCount: report.acceleratorCount,
    items: residentItems(report),
    intents: [],
    acknowledgedFence: 0,
    writeId: '',
  };
}

/**
 * Memory committed on a worker, in bytes: every item that is resident, may be
 * loaded by an order still on its way, or may not have been unloaded yet.
 */
export function committedBytes(record: WorkerRecord): number {
  const bytesByItem = new Map<string, number>();
  for (const {item, memoryBytes} of [...record.items, ...record.intents]) {
    const known = bytesByItem.get(item) ?? 0;
    bytesByItem.set(item, Math.max(known, memoryBytes));
  }
  return [...bytesByItem.values()].reduce((sum, bytes) => sum + bytes, 0);
}

/** Memory of a worker that no item can come to occupy, in bytes. */
export function freeBytes(record: WorkerRecord): number {
  return record.memoryBytes - committedBytes(record);
}

/** Whether the item is resident and no unload of it is on its way. */
export function isHeld(record: WorkerRecord, item: string): boolean {
  const isResident = record.items.some(held => held.item === item);
  return isResident && !hasIntent(record, OrderKind.UNLOAD, item);
}

/** Whether an order of this kind for the item may still take effect. */
export function hasIntent(
  record: WorkerRecord,
  kind: OrderKind,
  item: string,
): boolean {
  return record.intents.some(
    intent => intent.kind === kind && intent.item === item,
  );
}

/** Adds an intent; its order may be sent once the record is stored. */
export function withIntent(
  record: WorkerRecord,
  intent: OrderIntent,
): WorkerRecord {
  const next = {...record, intents: [...record.intents, intent]};
  const committed = committedBytes(next);
  invariant(
    committed <= record.memoryBytes || intent.kind === OrderKind.UNLOAD,
    `${record.upstreamId}: ${intent.item} would commit ${committed} of ` +
      `${record.memoryBytes} bytes`,
  );
  return next;
}

/** Settles an order by the engine's own answer to it. */
export function withAnswer(
  record: WorkerRecord,
  orderId: string,
  isDone: boolean,
): WorkerRecord {
  const intent = record.intents.find(held => held.orderId === orderId);
  if (!intent) return record;
  const intents = record.intents.filter(held => held !== intent);
  if (!isDone) return {...record, intents};
  const {item, memoryBytes, kind, fence} = intent;
  const others = record.items.filter(held => held.item !== item);
  const items =
    kind === OrderKind.LOAD ? [...others, {item, memoryBytes}] : others;
  const acknowledgedFence = Math.max(record.acknowledgedFence, fence);
  return {...record, intents, items, acknowledgedFence};
}

/**
 * Takes an engine's report that was asked for after the record was read.
 * Orders are settled only by what the report proves or once they can no longer
 * arrive; silence settles nothing.
 */
export function withReport(
  record: WorkerRecord,
  report: EngineReport,
  rules: SettlementRules,
): WorkerRecord {
  const isRestart = report.engineStart !== record.engineStart;
  const resident = new Set(report.resident.map(({item}) => item));
  const intents = record.intents.filter(intent => {
    if (rules.isPastDelay(intent.orderId)) return false;
    if (isFencedOff(record, intent, rules, isRestart)) return false;
    return intent.kind === OrderKind.LOAD || resident.has(intent.item);
  });
  return {
    ...record,
    engineStart: report.engineStart,
    memoryBytes: report.memoryBytes,
    acceleratorCount: report.acceleratorCount,
    items: residentItems(report),
    intents,
    acknowledgedFence: isRestart ? 0 : record.acknowledgedFence,
  };
}

function residentItems({resident}: EngineReport): LedgerItem[] {
  return resident.map(({item, memoryBytes}) => ({item, memoryBytes}));
}

/** Whether the engine would refuse the order because a newer one came. */
function isFencedOff(
  record: WorkerRecord,
  intent: OrderIntent,
  rules: SettlementRules,
  isRestart: boolean,
): boolean {
  if (!rules.checksFencing || isRestart) return false;
  return intent.fence < record.acknowledgedFence;
}
