import type {CatalogueEntry} from './catalogue_schema.js';

import {EntryKind, IdempotencyKeyPolicy} from './entry_kind.js';

/** HTTP methods that are idempotent by definition (RFC 9110). */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
]);

/** Whether a request with this method for the entry may run more than once. */
export function isIdempotent(entry: CatalogueEntry, method: string): boolean {
  if (entry.kind !== EntryKind.SERVICE) return entry.idempotent ?? true;
  if (IDEMPOTENT_METHODS.has(method)) return true;
  return entry.idempotent ?? false;
}

/** Whether a request for the entry must carry an `Idempotency-Key`. */
export function isIdempotencyKeyRequired(
  entry: CatalogueEntry,
  method: string,
): boolean {
  if (isIdempotent(entry, method)) return false;
  return (
    (entry.idempotencyKey ?? IdempotencyKeyPolicy.REQUIRED) ===
    IdempotencyKeyPolicy.REQUIRED
  );
}

/**
 * Returns the name of the item that an engine holds for the version of an
 * entry, as `name@version`. For an adapter the version of its base model is
 * appended, because an adapter is loaded for one version of its base.
 */
export function itemName(
  entry: CatalogueEntry,
  base: CatalogueEntry | undefined,
): string {
  const own = `${entry.name}@${entry.version}`;
  return base === undefined ? own : `${own}-${base.version}`;
}

/** Returns the name of the entry that an item belongs to. */
export function entryNameOfItem(item: string): string {
  return item.slice(0, item.lastIndexOf('@'));
}
