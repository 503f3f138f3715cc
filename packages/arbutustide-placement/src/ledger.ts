import type {EngineReport, PlatformHost} from '@arbutustide/upstream';

import type {LedgerItem, OrderIntent, WorkerRecord} from './worker_record.js';

import {invariant} from '@arbutustide/errors';
import {OrderKind} from '@arbutustide/upstream';

/** Conditions under which an unanswered order can no longer take effect. */
export interface IntentResolutionRules {
  /** Whether the engine refuses an order with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Whether the longest order delay has passed for an order. */
  readonly isPastLongestDelay: (orderId: string) => boolean;
}

/** Creates the record of a worker from its first report. */
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
 * Returns a worker's committed memory in bytes: all items that are resident,
 * may still be loaded by an unresolved order, or may not be unloaded yet.
 */
export function committedBytes(record: WorkerRecord): number {
  const bytesByItem = new Map<string, number>();
  for (const {item, memoryBytes} of [...record.items, ...record.intents]) {
    const known = bytesByItem.get(item) ?? 0;
    bytesByItem.set(item, Math.max(known, memoryBytes));
  }
  return [...bytesByItem.values()].reduce((sum, bytes) => sum + bytes, 0);
}

/** Returns a worker's memory that is not committed, in bytes. */
export function freeBytes(record: WorkerRecord): number {
  return record.memoryBytes - committedBytes(record);
}

/** Whether the item is resident without an unresolved unload order. */
export function isRetained(record: WorkerRecord, item: string): boolean {
  const isResident = record.items.some(held => held.item === item);
  return isResident && !hasIntent(record, OrderKind.UNLOAD, item);
}

/** Whether an order of this kind for the item is unresolved. */
export function hasIntent(
  record: WorkerRecord,
  kind: OrderKind,
  item: string,
): boolean {
  return record.intents.some(
    intent => intent.kind === kind && intent.item === item,
  );
}

/**
 * Adds an intent. Its order must not be sent before the record is stored.
 *
 * @throws if a load would commit more memory than the worker has.
 */
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

/** Removes an order's intent and applies its effect, by the engine's answer. */
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
 * Applies an engine's report, which must have been requested after the record
 * was read. An intent is removed only if the report proves its effect or if its
 * order can no longer take effect; a missing report removes none.
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

/** Whether the engine refuses the order, having confirmed a newer epoch. */
function isRejectedByFencing(
  record: WorkerRecord,
  intent: OrderIntent,
  rules: IntentResolutionRules,
  isRestarted: boolean,
): boolean {
  if (!rules.checksFencing || isRestarted) return false;
  return intent.fence < record.acknowledgedFence;
}
