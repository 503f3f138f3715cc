import {OrderKind} from '@arbutustide/upstream';
import {z} from 'zod';

const itemSchema = z.strictObject({
  /** As `name@version`. */
  item: z.string(),
  memoryBytes: z.number().int(),
});

const intentSchema = z.strictObject({
  orderId: z.string(),
  kind: z.enum(OrderKind),
  item: z.string(),
  memoryBytes: z.number().int(),
  baseItem: z.string().optional(),
  /** Fencing token: epoch of the lease under which the order is sent. */
  fence: z.number().int(),
});

/**
 * Stored record of one worker's accelerator memory. Items are sharded evenly
 * over the worker's accelerators, so checking the worker's total suffices.
 */
export const workerRecordSchema = z.strictObject({
  upstreamId: z.string(),
  failureDomain: z.string(),
  engineStart: z.string(),
  memoryBytes: z.number().int(),
  acceleratorCount: z.number().int(),
  /** Resident items by the engine's latest report and answers. */
  items: z.array(itemSchema),
  /** Orders that may still take effect; stored before they are sent. */
  intents: z.array(intentSchema),
  /** Highest fencing token of an order that the engine confirmed. */
  acknowledgedFence: z.number().int(),
  /** Random ID of each write, to recognize it after a lost reply. */
  writeId: z.string(),
});

export type LedgerItem = z.infer<typeof itemSchema>;
export type OrderIntent = z.infer<typeof intentSchema>;
export type WorkerRecord = z.infer<typeof workerRecordSchema>;

/** Prefix of all worker records in the store. */
export const WORKER_PREFIX = 'workers/';

/** Store key of a worker's record. */
export function workerKey(upstreamId: string): string {
  return `${WORKER_PREFIX}${upstreamId}`;
}
