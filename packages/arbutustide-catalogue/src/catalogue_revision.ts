import type {
  CatalogueCaller,
  CatalogueDocument,
  CatalogueEntry,
  RequestClass,
} from './catalogue_schema.js';

import {itemName} from './entry_rules.js';

import type {EntryKind} from './entry_kind.js';

/** An accepted catalogue, indexed for lookups. Immutable. */
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

  /** Returns the entry with this name, if any. */
  findEntry(name: string): CatalogueEntry | undefined {
    return this.entriesByName.get(name);
  }

  /** Returns the name of the item that engines hold for an entry's version. */
  itemName(entry: CatalogueEntry): string {
    return itemName(entry, this.findEntry(entry.base ?? ''));
  }

  /**
   * Returns the request class with this name, if any. Validation guarantees
   * that the class of every entry exists.
   */
  findRequestClass(name: string): RequestClass | undefined {
    return this.classesByName.get(name);
  }

  /** Returns the caller whose bearer key has this SHA-256 digest, if any. */
  findCallerByKeyDigest(keySha256: string): CatalogueCaller | undefined {
    return this.callersByKeyDigest.get(keySha256);
  }

  /** Returns the adapters of one model. */
  adaptersOfModel(model: string): readonly CatalogueEntry[] {
    return this.adaptersByBase.get(model) ?? [];
  }

  /** Returns all entries of one kind. */
  entriesOfKind(kind: EntryKind): CatalogueEntry[] {
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
