import {z} from 'zod';

import {EntryKind, IdempotencyKeyPolicy} from './entry_kind.js';

/** Names may appear in URLs, store keys and metric labels. */
const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'allowed: 1 to 63 of a-z, 0-9, ".", "_", "-", not starting with a sign',
  );
const millisecondsSchema = z.number().int().min(1).max(86_400_000);

/** A request class: what its callers may expect. */
export const requestClassSchema = z.strictObject({
  name: nameSchema,
  /** Longest time from arrival to the whole answer. */
  deadlineMilliseconds: millisecondsSchema,
  /** Target for the first token. */
  firstTokenMilliseconds: millisecondsSchema,
  /** Longest silence of an upstream before it counts as broken. */
  progressMilliseconds: millisecondsSchema,
  /** Lower numbers go first. */
  priority: z.number().int().min(0).max(9),
});

/** A caller that may send requests, known by the digest of its key. */
export const callerSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the bearer key, in hexadecimal. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'allowed: 64 hex digits'),
  /** Entries the caller may use; absent for all. */
  entries: z.array(nameSchema).optional(),
});

/** One entry of the catalogue. */
export const entrySchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(EntryKind),
  owner: nameSchema,
  /** Name of the request class. */
  class: nameSchema,
  /** Changing it replaces the loaded weights. */
  version: nameSchema.default('1'),
  /** Accelerator memory for one replica, sharded evenly over its worker. */
  memoryBytes: z.number().int().min(0).default(0),
  /** The model an adapter belongs to. */
  base: nameSchema.optional(),
  /** Group of hosts in the platform's list that serve a plain service. */
  hostGroup: nameSchema.optional(),
  /** False when running a request twice does harm. */
  idempotent: z.boolean().optional(),
  idempotencyKey: z.enum(IdempotencyKeyPolicy).optional(),
  minimumReplicas: z.number().int().min(1).max(64).default(1),
  maximumReplicas: z.number().int().min(1).max(600).default(16),
  /** Requests to this entry one node runs at once. */
  maximumInFlight: z.number().int().min(1).default(256),
  /** Requests to this entry one node queues. */
  maximumQueued: z.number().int().min(0).default(512),
});

/** The whole catalogue as operators write it. */
export const catalogueSchema = z.strictObject({
  /** Revision this edit starts from; `catalogue get` writes it. */
  baseRevision: z.number().int().min(0).optional(),
  classes: z.array(requestClassSchema).default([]),
  callers: z.array(callerSchema).default([]),
  entries: z.array(entrySchema).default([]),
});

export type RequestClass = z.infer<typeof requestClassSchema>;
export type CatalogueCaller = z.infer<typeof callerSchema>;
export type CatalogueEntry = z.infer<typeof entrySchema>;
export type CatalogueDocument = z.infer<typeof catalogueSchema>;
