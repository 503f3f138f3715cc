import type {CatalogueDocument} from './catalogue_schema.js';

import {computeContentDigest} from './stored_catalogue.js';

/** How an item differs between two catalogues. */
export enum ChangeKind {
  ADDED = 'added',
  REMOVED = 'removed',
  CHANGED = 'changed',
}

/** One difference between two catalogues. */
export interface CatalogueChange {
  readonly kind: ChangeKind;
  /** For example `entries.certificate-writer`. */
  readonly item: string;
  /** Changed fields as `field: before -> after`. */
  readonly fields: readonly string[];
}

interface NamedItem {
  readonly name: string;
}

/** Lists the differences between two catalogues, by item. */
export function* differences(
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
  const old = new Map(before.map(item => [item.name, item]));
  for (const item of after) {
    const previous = old.get(item.name);
    old.delete(item.name);
    const name = `${list}.${item.name}`;
    if (previous === undefined) {
      yield {kind: ChangeKind.ADDED, item: name, fields: []};
    } else if (computeContentDigest(previous) !== computeContentDigest(item)) {
      const fields = describeChangedFields(previous, item);
      yield {kind: ChangeKind.CHANGED, item: name, fields};
    }
  }
  for (const name of old.keys()) {
    yield {kind: ChangeKind.REMOVED, item: `${list}.${name}`, fields: []};
  }
}

function describeChangedFields(before: NamedItem, after: NamedItem): string[] {
  const old = new Map(Object.entries(before));
  const fresh = new Map(Object.entries(after));
  const keys = new Set([...old.keys(), ...fresh.keys()]);
  return [...keys]
    .map(key => ({
      key,
      from: JSON.stringify(old.get(key)) ?? 'absent',
      to: JSON.stringify(fresh.get(key)) ?? 'absent',
    }))
    .filter(({from, to}) => from !== to)
    .map(({key, from, to}) => `${key}: ${from} -> ${to}`);
}
