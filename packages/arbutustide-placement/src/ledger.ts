import type {EngineReport, PlatformHost} from '@arbutustide/upstream';

import type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

import {invariant} from '@arbutustide/errors';
import {OrderKind} from '@arbutustide/upstream';

/** What decides whether an order can no longer take effect. */
export interface IntentResolutionRules {
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Whether the engine's longest order delay has passed for an order. */
  readonly isPastLongestDelay: (orderId: string) => boolean;
}

/** The record of a worker seen for the first time. */
export function createWorkerRecord(
  host: Pick<PlatformHost, 'id' | 'failureDomain'>,
  report: EngineReport,
): WorkerRecord {
  return {
    upstreamId: host.id,
    failureDomain: host.failureDomain,
    engineStart: report.engineStart,
    memoryBytes: report.memoryBytes,
    acceleratorCount: report.acceleratorCount,
    items: toLedgerItems(report),
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
export function isRetained(record: WorkerRecord, item: string): boolean {
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
export function addIntent(
  record: WorkerRecord,
  intent: OrderIntent,
): WorkerRecord {
  const updated = {...record, intents: [...record.intents, intent]};
  const committed = committedBytes(updated);
  invariant(
    committed <= record.memoryBytes || intent.kind === OrderKind.UNLOAD,
    `${record.upstreamId}: ${intent.item} would commit ${committed} of ` +
      `${record.memoryBytes} bytes`,
  );
  return updated;
}

/** Settles an order by the engine's own answer to it. */
export function applyOrderAnswer(
  record: WorkerRecord,
  orderId: string,
  isDone: boolean,
): WorkerRecord {
  const intent = record.intents.find(held => held.orderId === orderId);
  if (!intent) return record;
  const intents = record.intents.filter(held => held !== intent);
  if (!isDone) return {...record, intents};
  const {item, memoryBytes, kind, fence} = intent;
  const otherItems = record.items.filter(held => held.item !== item);
  const items =
    kind === OrderKind.LOAD ? [...otherItems, {item, memoryBytes}] : otherItems;
  const acknowledgedFence = Math.max(record.acknowledgedFence, fence);
  return {...record, intents, items, acknowledgedFence};
}

/**
 * Takes an engine's report that was asked for after the record was read.
 * Orders are settled only by what the report proves or once they can no longer
 * arrive; silence settles nothing.
 */
export function applyReport(
  record: WorkerRecord,
  report: EngineReport,
  rules: IntentResolutionRules,
): WorkerRecord {
  const isRestarted = report.engineStart !== record.engineStart;
  const residentItems = new Set(report.resident.map(({item}) => item));
  const intents = record.intents.filter(intent => {
    if (rules.isPastLongestDelay(intent.orderId)) return false;
    if (isRejectedByFencing(record, intent, rules, isRestarted)) return false;
    return intent.kind === OrderKind.LOAD || residentItems.has(intent.item);
  });
  return {
    ...record,
    engineStart: report.engineStart,
    memoryBytes: report.memoryBytes,
    acceleratorCount: report.acceleratorCount,
    items: toLedgerItems(report),
    intents,
    acknowledgedFence: isRestarted ? 0 : record.acknowledgedFence,
  };
}

function toLedgerItems({resident}: EngineReport): LedgerItem[] {
  return resident.map(({item, memoryBytes}) => ({item, memoryBytes}));
}

/** Whether the engine would refuse the order because a newer one came. */
function isRejectedByFencing(
  record: WorkerRecord,
  intent: OrderIntent,
  rules: IntentResolutionRules,
  isRestarted: boolean,
): boolean {
  if (!rules.checksFencing || isRestarted) return false;
  return intent.fence < record.acknowledgedFence;
}
