import type {CatalogueDocument} from './catalogue_schema.js';

import {contentDigest} from './stored_catalogue.js';

/** Kind of difference of an item between two catalogues. */
export enum ChangeKind {
  ADDED = 'added',
  REMOVED = 'removed',
  CHANGED = 'changed',
}

/** One difference between two catalogues. */
export interface CatalogueChange {
  readonly kind: ChangeKind;
  /** List and name of the item, such as `entries.certificate-writer`. */
  readonly item: string;
  /** Changed fields as `field: before -> after`. */
  readonly fields: readonly string[];
}

interface NamedItem {
  readonly name: string;
}

/** Yields the items that differ between two catalogues. */
export function* diffCatalogues(
  before: CatalogueDocument,
  after: CatalogueDocument,
): Generator<CatalogueChange> {
  yield* diffItems('classes', before.classes, after.classes);
  yield* diffItems('callers', before.callers, after.callers);
  yield* diffItems('entries', before.entries, after.entries);
}

function* diffItems(
  list: string,
  before: readonly NamedItem[],
  after: readonly NamedItem[],
): Generator<CatalogueChange> {
  const unmatched = new Map(before.map(item => [item.name, item]));
  for (const item of after) {
    const previous = unmatched.get(item.name);
    unmatched.delete(item.name);
    const name = `${list}.${item.name}`;
    if (previous === undefined) {
      yield {kind: ChangeKind.ADDED, item: name, fields: []};
    } else if (contentDigest(previous) !== contentDigest(item)) {
      const fields = describeChangedFields(previous, item);
      yield {kind: ChangeKind.CHANGED, item: name, fields};
    }
  }
  for (const name of unmatched.keys()) {
    yield {kind: ChangeKind.REMOVED, item: `${list}.${name}`, fields: []};
  }
}

function describeChangedFields(before: NamedItem, after: NamedItem): string[] {
  const beforeFields = new Map(Object.entries(before));
  const afterFields = new Map(Object.entries(after));
  const keys = new Set([...beforeFields.keys(), ...afterFields.keys()]);
  return [...keys]
    .map(key => ({
      key,
      from: JSON.stringify(beforeFields.get(key)) ?? 'absent',
      to: JSON.stringify(afterFields.get(key)) ?? 'absent',
    }))
    .filter(({from, to}) => from !== to)
    .map(({key, from, to}) => `${key}: ${from} -> ${to}`);
}
