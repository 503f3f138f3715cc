import type {
  CatalogueCaller,
  CatalogueDocument,
  CatalogueEntry,
  RequestClass,
} from './catalogue_schema.js';

import {itemName} from './entry_rules.js';

import type {EntryKind} from './entry_kind.js';

/** One accepted catalogue, indexed for look-ups. Immutable. */
export class CatalogueRevision {
  private readonly entriesByName: ReadonlyMap<string, CatalogueEntry>;
  private readonly classesByName: ReadonlyMap<string, RequestClass>;
  private readonly callersByKeyDigest: ReadonlyMap<string, CatalogueCaller>;
  private readonly adaptersByBase: ReadonlyMap<
    string,
    readonly CatalogueEntry[]
  >;

  constructor(
    readonly revision: number,
    readonly document: CatalogueDocument,
  ) {
    this.entriesByName = new Map(
      document.entries.map(entry => [entry.name, entry]),
    );
    this.classesByName = new Map(
      document.classes.map(item => [item.name, item]),
    );
    this.callersByKeyDigest = new Map(
      document.callers.map(caller => [caller.keySha256, caller]),
    );
    this.adaptersByBase = groupAdaptersByBase(document.entries);
  }

  /** The entry of this name, if any. */
  entry(name: string): CatalogueEntry | undefined {
    return this.entriesByName.get(name);
  }

  /** Name under which engines hold the current version of an entry. */
  itemName(entry: CatalogueEntry): string {
    return itemName(entry, this.entry(entry.base ?? ''));
  }

  /** The class of this name; validation guarantees that entries' exist. */
  requestClass(name: string): RequestClass | undefined {
    return this.classesByName.get(name);
  }

  /** The caller whose key has this SHA-256 digest, if any. */
  callerByKey(keySha256: string): CatalogueCaller | undefined {
    return this.callersByKeyDigest.get(keySha256);
  }

  /** The adapters of one model. */
  adaptersOf(model: string): readonly CatalogueEntry[] {
    return this.adaptersByBase.get(model) ?? [];
  }

  /** All entries of one kind. */
  entriesOf(kind: EntryKind): CatalogueEntry[] {
    return this.document.entries.filter(entry => entry.kind === kind);
  }
}

function groupAdaptersByBase(
  entries: readonly CatalogueEntry[],
): ReadonlyMap<string, readonly CatalogueEntry[]> {
  const groups = new Map<string, CatalogueEntry[]>();
  for (const entry of entries) {
    if (entry.base === undefined) continue;
    const group = groups.get(entry.base) ?? [];
    group.push(entry);
    groups.set(entry.base, group);
  }
  return groups;
}
