import type {CatalogueDocument, CatalogueEntry} from './catalogue_schema.js';

import {EntryKind} from './entry_kind.js';

/** Capacity of one worker, from the planner's ledger. */
export interface WorkerCapacity {
  readonly upstreamId: string;
  /** Total memory of the worker's accelerators. */
  readonly memoryBytes: number;
}

type CatalogueCheck = (document: CatalogueDocument) => Iterable<string>;

/**
 * Checks the rules that span several items, which the schema cannot express.
 *
 * @return one message per problem, with the key, the value and what is allowed;
 *     empty if the catalogue is valid.
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
      if (seen.has(name)) yield `${list}: name "${name}" is not unique`;
      seen.add(name);
    }
  }
}

function* checkEntryClasses(document: CatalogueDocument): Iterable<string> {
  const known = document.classes.map(({name}) => name);
  for (const entry of document.entries) {
    if (known.includes(entry.class)) continue;
    const allowed = known.join(', ') || 'no class is defined';
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
      yield `entries.${entry.name}.memory_bytes = 0: allowed: at least 1`;
    }
    if (entry.base !== undefined) {
      yield `entries.${entry.name}.base: allowed only for an adapter`;
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
      yield `entries.${entry.name}.host_group: required for a service`;
    }
    if (entry.memoryBytes !== 0) {
      yield (
        `entries.${entry.name}.memory_bytes = ${entry.memoryBytes}: ` +
        'allowed for a service: 0, since it uses no accelerator memory'
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
      yield `callers.${caller.name}.entries: "${name}" is not an entry`;
    }
  }
}

/**
 * Checks that each model with its adapters fits on the largest worker, and that
 * the minimum replicas of all models fit on all workers together.
 *
 * @param workers the known capacities; an empty list skips the check, because
 *     the first catalogue is written before any worker was seen.
 * @return one message per problem; empty if the catalogue fits.
 */
export function checkCapacity(
  document: CatalogueDocument,
  workers: readonly WorkerCapacity[],
): string[] {
  if (workers.length === 0) return [];
  const largestBytes = Math.max(...workers.map(worker => worker.memoryBytes));
  const totalBytes = workers.reduce(
    (sum, worker) => sum + worker.memoryBytes,
    0,
  );
  const problems: string[] = [];
  let neededBytes = 0;
  for (const entry of document.entries) {
    if (entry.kind !== EntryKind.MODEL) continue;
    const bytes = replicaBytes(entry, document);
    neededBytes += bytes * entry.minimumReplicas;
    if (bytes > largestBytes) {
      problems.push(
        `entries.${entry.name}.memory_bytes: with its adapters ${bytes} ` +
          `bytes, but the largest worker has ${largestBytes}`,
      );
    }
  }
  if (neededBytes > totalBytes) {
    problems.push(
      `entries: the minimum replicas need ${neededBytes} bytes, but all ` +
        `workers together have ${totalBytes}`,
    );
  }
  return problems;
}

/** Returns the bytes of one replica of a model with all its adapters. */
function replicaBytes(
  model: CatalogueEntry,
  document: CatalogueDocument,
): number {
  return document.entries
    .filter(entry => entry.name === model.name || entry.base === model.name)
    .reduce((sum, entry) => sum + entry.memoryBytes, 0);
}
