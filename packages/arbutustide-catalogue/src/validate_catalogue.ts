import type {CatalogueDocument, CatalogueEntry} from './catalogue_schema.js';

import {EntryKind} from './entry_kind.js';

/** Capacity of one worker, as the planner's ledger records it. */
export interface WorkerCapacity {
  readonly upstreamId: string;
  /** Memory over all accelerators of the worker. */
  readonly memoryBytes: number;
}

type CatalogueCheck = (document: CatalogueDocument) => Iterable<string>;

/**
 * Checks that span entries. Each problem names the key, the value and what is
 * allowed.
 */
export function validateCatalogue(document: CatalogueDocument): string[] {
  return CATALOGUE_CHECKS.flatMap(check => [...check(document)]);
}

const CATALOGUE_CHECKS: readonly CatalogueCheck[] = [
  checkUniqueNames,
  checkEntryClasses,
  checkKindFields,
  checkReplicaBounds,
  checkCallerEntries,
];

function* checkUniqueNames(document: CatalogueDocument): Iterable<string> {
  const lists = {
    classes: document.classes,
    callers: document.callers,
    entries: document.entries,
  };
  for (const [list, items] of Object.entries(lists)) {
    const seen = new Set<string>();
    for (const {name} of items) {
      if (seen.has(name)) yield `${list}: name "${name}" stands twice`;
      seen.add(name);
    }
  }
}

function* checkEntryClasses(document: CatalogueDocument): Iterable<string> {
  const known = document.classes.map(({name}) => name);
  for (const entry of document.entries) {
    if (known.includes(entry.class)) continue;
    const allowed = known.join(', ') || 'none is defined';
    yield `entries.${entry.name}.class = "${entry.class}": allowed: ${allowed}`;
  }
}

type KindCheck = (
  entry: CatalogueEntry,
  byName: ReadonlyMap<string, CatalogueEntry>,
) => Iterable<string>;

const KIND_CHECKS: Readonly<Record<EntryKind, KindCheck>> = {
  *[EntryKind.MODEL](entry) {
    if (entry.memoryBytes === 0) {
      yield `entries.${entry.name}.memory_bytes = 0: a model needs at least 1`;
    }
    if (entry.base !== undefined) {
      yield `entries.${entry.name}.base: only an adapter has one`;
    }
  },
  *[EntryKind.ADAPTER](entry, byName) {
    const base = byName.get(entry.base ?? '');
    if (base?.kind !== EntryKind.MODEL) {
      yield (
        `entries.${entry.name}.base = "${entry.base ?? ''}": ` +
        'allowed: the name of a model entry'
      );
    }
  },
  *[EntryKind.SERVICE](entry) {
    if (entry.hostGroup === undefined) {
      yield `entries.${entry.name}.host_group: a service names its hosts`;
    }
    if (entry.memoryBytes !== 0) {
      yield (
        `entries.${entry.name}.memory_bytes = ${entry.memoryBytes}: ` +
        'a service holds no accelerator memory'
      );
    }
  },
};

function* checkKindFields(document: CatalogueDocument): Iterable<string> {
  const byName = new Map(document.entries.map(entry => [entry.name, entry]));
  for (const entry of document.entries) {
    yield* KIND_CHECKS[entry.kind](entry, byName);
  }
}

function* checkReplicaBounds(document: CatalogueDocument): Iterable<string> {
  for (const {name, minimumReplicas, maximumReplicas} of document.entries) {
    if (minimumReplicas <= maximumReplicas) continue;
    yield (
      `entries.${name}.minimum_replicas = ${minimumReplicas}: ` +
      `allowed: at most maximum_replicas (${maximumReplicas})`
    );
  }
}

function* checkCallerEntries(document: CatalogueDocument): Iterable<string> {
  const known = new Set(document.entries.map(({name}) => name));
  for (const caller of document.callers) {
    for (const name of caller.entries ?? []) {
      if (known.has(name)) continue;
      yield `callers.${caller.name}.entries: "${name}" is no entry`;
    }
  }
}

/**
 * Checks that the smallest number of replicas of every model, with its
 * adapters, fits into the workers, and that one version can be replaced while
 * the old one still counts.
 *
 * @param workers the capacities known; an empty list skips the check, since
 *     the first catalogue is written before any worker was seen.
 */
export function checkFit(
  document: CatalogueDocument,
  workers: readonly WorkerCapacity[],
): string[] {
  if (workers.length === 0) return [];
  const largest = Math.max(...workers.map(worker => worker.memoryBytes));
  const total = workers.reduce((sum, worker) => sum + worker.memoryBytes, 0);
  const problems: string[] = [];
  let needed = 0;
  for (const entry of document.entries) {
    if (entry.kind !== EntryKind.MODEL) continue;
    const bytes = replicaBytes(entry, document);
    needed += bytes * entry.minimumReplicas;
    if (bytes > largest) {
      problems.push(
        `entries.${entry.name}.memory_bytes: with its adapters ${bytes} ` +
          `bytes, but the largest worker holds ${largest}`,
      );
    }
  }
  if (needed > total) {
    problems.push(
      `entries: the smallest replica counts need ${needed} bytes, but all ` +
        `workers together hold ${total}`,
    );
  }
  return problems;
}

/** Memory of one replica of a model together with its adapters, in bytes. */
function replicaBytes(
  model: CatalogueEntry,
  document: CatalogueDocument,
): number {
  return document.entries
    .filter(entry => entry.name === model.name || entry.base === model.name)
    .reduce((sum, entry) => sum + entry.memoryBytes, 0);
}
