import {z} from 'zod';

import {EntryKind, IdempotencyKeyPolicy} from './entry_kind.js';

/** Names are used in URLs, store keys and metric labels. */
const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'allowed: 1 to 63 of a-z, 0-9, ".", "_", "-", first a-z or 0-9',
  );
const millisecondsSchema = z.number().int().min(1).max(86_400_000);

/** A request class: the time limits and priority of its requests. */
export const requestClassSchema = z.strictObject({
  name: nameSchema,
  /** Limit from a request's arrival to its complete answer. */
  deadlineMilliseconds: millisecondsSchema,
  /** Target for the time to the first token. */
  firstTokenMilliseconds: millisecondsSchema,
  /** Inactivity timeout: longest time that an upstream may send nothing. */
  progressMilliseconds: millisecondsSchema,
  /** Requests with lower numbers are served first. */
  priority: z.number().int().min(0).max(9),
});

/** A caller that may send requests, identified by the digest of its key. */
export const callerSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the bearer key, in hexadecimal. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'allowed: 64 hex digits'),
  /** Entries that the caller may use; all if absent. */
  entries: z.array(nameSchema).optional(),
});

/** One entry of the catalogue. */
export const entrySchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(EntryKind),
  owner: nameSchema,
  /** Name of the request class. */
  class: nameSchema,
  /** Engines replace the loaded weights when it changes. */
  version: nameSchema.default('1'),
  /**
   * Accelerator memory of one replica, sharded evenly over the accelerators of
   * its worker.
   */
  memoryBytes: z.number().int().min(0).default(0),
  /** The model an adapter belongs to. */
  base: nameSchema.optional(),
  /** Group in the platform's host list whose hosts serve a plain service. */
  hostGroup: nameSchema.optional(),
  /** False if running a request twice causes harm. */
  idempotent: z.boolean().optional(),
  idempotencyKey: z.enum(IdempotencyKeyPolicy).optional(),
  minimumReplicas: z.number().int().min(1).max(64).default(1),
  maximumReplicas: z.number().int().min(1).max(600).default(16),
  /** Maximum requests for this entry that one node has in flight. */
  maximumInFlight: z.number().int().min(1).default(256),
  /** Maximum requests for this entry that one node queues. */
  maximumQueued: z.number().int().min(0).default(512),
});

/** A complete catalogue, as operators write it. */
export const catalogueSchema = z.strictObject({
  /** Revision that this edit is based on; set by `catalogue get`. */
  baseRevision: z.number().int().min(0).optional(),
  classes: z.array(requestClassSchema).default([]),
  callers: z.array(callerSchema).default([]),
  entries: z.array(entrySchema).default([]),
});

export type RequestClass = z.infer<typeof requestClassSchema>;
export type CatalogueCaller = z.infer<typeof callerSchema>;
export type CatalogueEntry = z.infer<typeof entrySchema>;
export type CatalogueDocument = z.infer<typeof catalogueSchema>;
