import type {CatalogueDocument, CatalogueEntry} from './catalogue_schema.js';

import {createHash} from 'node:crypto';

import {z} from 'zod';

import {catalogueSchema} from './catalogue_schema.js';

/** Store key of the head, which determines the accepted catalogue. */
export const HEAD_KEY = 'catalogue/head';

/** Maximum entries per chunk; small, so that a small edit writes little. */
const ENTRIES_PER_CHUNK = 64;

/** Write ids kept in the head to find out whether an edit was accepted. */
export const MAXIMUM_WRITE_IDS = 64;

/** Metadata of one revision, with references to its content. Immutable. */
export const manifestSchema = z.strictObject({
  revision: z.number().int().min(1),
  /** Digests of the chunks in order. */
  chunks: z.array(z.string()),
  author: z.string(),
  /** Time of the edit by the operator's clock, in ISO 8601; informative. */
  time: z.string(),
  writeId: z.string(),
  /** Digest of the previous revision's manifest. */
  previous: z.string().optional(),
});

/** The head: the only mutable object; refers to the accepted manifest. */
export const headSchema = z.strictObject({
  revision: z.number().int().min(1),
  /** Digest of the manifest. */
  manifest: z.string(),
  /** The most recent write ids, newest last. */
  writeIds: z.array(z.string()),
});

export type CatalogueManifest = z.infer<typeof manifestSchema>;
export type CatalogueHead = z.infer<typeof headSchema>;

const chunkSchema = z.strictObject({
  classes: catalogueSchema.shape.classes,
  callers: catalogueSchema.shape.callers,
  entries: catalogueSchema.shape.entries,
});
type CatalogueChunk = z.infer<typeof chunkSchema>;

/** An immutable object addressed by the digest of its content. */
export interface ContentObject {
  readonly digest: string;
  readonly value: unknown;
}

/** Returns the store key of a content object. */
export function contentKey(digest: string): string {
  return `catalogue/content/${digest}`;
}

/** Pairs a JSON value with its digest. */
export function toContentObject(value: unknown): ContentObject {
  return {digest: contentDigest(value), value};
}

/** Returns the SHA-256 of a JSON value, with sorted keys, in hexadecimal. */
export function contentDigest(value: unknown): string {
  return createHash('sha256').update(toCanonicalJson(value)).digest('hex');
}

function toCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => {
    if (item === null || typeof item !== 'object' || Array.isArray(item)) {
      return item;
    }
    const sorted = Object.entries(item).sort(([left], [right]) =>
      left < right ? -1 : 1,
    );
    return Object.fromEntries(sorted);
  });
}

/** Splits a catalogue into chunks; the first has all classes and callers. */
export function splitDocument(document: CatalogueDocument): ContentObject[] {
  const entries = document.entries.toSorted((left, right) =>
    left.name < right.name ? -1 : 1,
  );
  const chunks = [...batchEntries(entries)].map((batch, index) => ({
    classes: index === 0 ? document.classes : [],
    callers: index === 0 ? document.callers : [],
    entries: batch,
  }));
  return chunks.map(toContentObject);
}

function* batchEntries(entries: CatalogueEntry[]): Iterable<CatalogueEntry[]> {
  for (let start = 0; start === 0 || start < entries.length;) {
    yield entries.slice(start, start + ENTRIES_PER_CHUNK);
    start += ENTRIES_PER_CHUNK;
  }
}

/** Assembles a catalogue from its chunks; throws if one is invalid. */
export function joinDocument(values: readonly unknown[]): CatalogueDocument {
  const chunks: CatalogueChunk[] = values.map(value =>
    chunkSchema.parse(value),
  );
  return {
    classes: chunks.flatMap(chunk => chunk.classes),
    callers: chunks.flatMap(chunk => chunk.callers),
    entries: chunks.flatMap(chunk => chunk.entries),
  };
}
