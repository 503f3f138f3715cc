import type {
  CatalogueDocument,
  CatalogueHead,
  CatalogueManifest,
  CatalogueRevision,
} from '@arbutustide/catalogue';
import type {ObjectStore} from '@arbutustide/object-store';

import type {OutputRow} from './output.js';
import type {PlatformOptions} from './platform_access.js';

import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';

import {
  CatalogueStore,
  diffCatalogues,
  joinDocument,
} from '@arbutustide/catalogue';
import {delay} from '@arbutustide/errors';
import {NodeState} from '@arbutustide/membership';
import {StoreErrorKind} from '@arbutustide/object-store';

import {
  checkCatalogueFits,
  formatCatalogue,
  readCatalogueFile,
} from './catalogue_file.js';
import {CommandError, toStoreCommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {printRows} from './output.js';
import {openObjectStore, listNodes} from './platform_access.js';

const IN_FORCE_POLL_INTERVAL_MILLISECONDS = 200;
const EMPTY_CATALOGUE: CatalogueDocument = {
  classes: [],
  callers: [],
  entries: [],
};

/** Options of commands that write a catalogue revision. */
export interface CatalogueWriteOptions extends PlatformOptions {
  readonly base?: string;
  readonly author?: string;
  readonly writeId?: string;
  /**
   * Milliseconds to wait until the revision is in force on all nodes; true for
   * the default; absent to not wait.
   */
  readonly wait?: string | boolean;
}

/**
 * `catalogue validate FILE`: also checks that it fits into the workers if an
 * object store is given.
 */
export async function validateCatalogueCommand(
  file: string,
  options: PlatformOptions,
): Promise<void> {
  const document = readCatalogueFile(file);
  if (options.objectStore) {
    await checkCatalogueFits(document, file, openObjectStore(options));
  }
  printRows(
    [{file, valid: true, entries: document.entries.length}],
    options.output,
  );
}

/** `catalogue diff FILE`: compares the file with the accepted catalogue. */
export async function diffCatalogueCommand(
  file: string,
  options: PlatformOptions,
): Promise<void> {
  const document = readCatalogueFile(file);
  const current = await readCurrentRevision(openObjectStore(options));
  printRows(
    toChangeRows(current?.document ?? EMPTY_CATALOGUE, document),
    options.output,
  );
}

/** `catalogue get [REVISION]`: prints a file to edit and apply. */
export async function getCatalogueCommand(
  revision: string | undefined,
  options: PlatformOptions,
): Promise<void> {
  const store = openObjectStore(options);
  const current = await readCurrentRevision(store);
  if (!current) throw catalogueNotFound();
  const document =
    revision === undefined
      ? current.document
      : await readRevisionDocument(store, Number(revision));
  process.stdout.write(formatCatalogue(document, current.revision));
}

/** `catalogue apply FILE`: submits the file as the next revision. */
export async function applyCatalogueCommand(
  file: string,
  options: CatalogueWriteOptions,
): Promise<void> {
  const document = readCatalogueFile(file);
  const store = openObjectStore(options);
  await checkCatalogueFits(document, file, store);
  const current = await readCurrentRevision(store);
  const baseRevision = chooseBaseRevision(
    document,
    options,
    current?.revision ?? 0,
  );
  const {baseRevision: _base, ...content} = document;
  await submitRevision(store, content, baseRevision, options);
}

/** `catalogue rollback REVISION`: submits old content as the next revision. */
export async function rollbackCatalogueCommand(
  revision: string,
  options: CatalogueWriteOptions,
): Promise<void> {
  const store = openObjectStore(options);
  const current = await readCurrentRevision(store);
  if (!current) throw catalogueNotFound();
  const document = await readRevisionDocument(store, Number(revision));
  await checkCatalogueFits(document, `revision ${revision}`, store);
  await submitRevision(store, document, current.revision, options);
}

/** `catalogue history`: lists revisions, newest first. */
export async function catalogueHistoryCommand(
  options: PlatformOptions & {readonly limit: string},
): Promise<void> {
  const rows: OutputRow[] = [];
  for await (const manifest of readManifests(openObjectStore(options))) {
    const {revision, author, time, writeId} = manifest;
    rows.push({revision, author, time, writeId});
    if (rows.length >= Number(options.limit)) break;
  }
  printRows(rows, options.output);
}

async function submitRevision(
  store: ObjectStore,
  document: CatalogueDocument,
  baseRevision: number,
  options: CatalogueWriteOptions,
): Promise<void> {
  const writeId = options.writeId ?? randomUUID();
  const accepted = await new CatalogueStore(store).acceptEdit({
    document,
    baseRevision,
    author: options.author ?? userInfo().username,
    time: new Date().toISOString(),
    writeId,
  });
  if (!accepted.ok) {
    const {kind} = accepted.val;
    if (kind === StoreErrorKind.CONFLICT)
      await throwConflictWithChanges(store, baseRevision);
    if (kind === StoreErrorKind.OUTCOME_UNKNOWN) {
      throw new CommandError(
        ExitCode.OUTCOME_UNKNOWN,
        'it is unknown whether the edit was accepted; run the command with ' +
          `--write-id ${writeId} --base ${baseRevision} again to find out`,
      );
    }
    throw toStoreCommandError(accepted.val);
  }
  const {revision} = accepted.val;
  if (options.wait === undefined) {
    printRows([{revision, accepted: true}], options.output);
    return;
  }
  await waitUntilInForce(revision, options);
}

/**
 * Polls the nodes until the revision is in force on every ready node, and
 * prints the result. Throws `NOT_IN_FORCE` after the timeout.
 */
async function waitUntilInForce(
  revision: number,
  options: CatalogueWriteOptions,
): Promise<void> {
  const timeoutMilliseconds = Number(
    options.wait === true ? 16_000 : options.wait,
  );
  const startedAt = performance.now();
  for (;;) {
    const nodes = await listNodes(options);
    const serving = nodes.filter(({state}) => state === NodeState.READY);
    const inForce = serving.filter(
      node => node.catalogueRevision >= revision,
    ).length;
    const elapsedMilliseconds = Math.round(performance.now() - startedAt);
    const row = {revision, accepted: true, inForce, nodes: serving.length};
    if (serving.length > 0 && inForce === serving.length) {
      printRows([{...row, milliseconds: elapsedMilliseconds}], options.output);
      return;
    }
    if (elapsedMilliseconds > timeoutMilliseconds) {
      printRows([{...row, milliseconds: elapsedMilliseconds}], options.output);
      throw new CommandError(
        ExitCode.NOT_IN_FORCE,
        `revision ${revision} is accepted, but in force on ${inForce} of ` +
          `${serving.length} nodes after ${elapsedMilliseconds} ms`,
      );
    }
    await delay(IN_FORCE_POLL_INTERVAL_MILLISECONDS);
  }
}

/**
 * Throws an error that lists what changed since the base revision. Returns if
 * there is no base or no catalogue to compare.
 */
async function throwConflictWithChanges(
  store: ObjectStore,
  baseRevision: number,
): Promise<void> {
  const current = await readCurrentRevision(store);
  if (!current || baseRevision === 0) return;
  const base = await readRevisionDocument(store, baseRevision);
  const changes = toChangeRows(base, current.document)
    .map(({change, item, fields}) => `  ${change} ${item} ${fields}`)
    .join('\n');
  throw new CommandError(
    ExitCode.CONFLICT,
    `the catalogue changed from revision ${baseRevision} to ` +
      `${current.revision} in the meantime; the edit was not applied. ` +
      `Changes since then:\n${changes}\nGet it, repeat the edit, and apply it.`,
  );
}

/** The base revision from `--base`, the file, or 0 for the first catalogue. */
function chooseBaseRevision(
  document: CatalogueDocument,
  options: CatalogueWriteOptions,
  currentRevision: number,
): number {
  const base = options.base ?? document.baseRevision;
  if (base !== undefined) return Number(base);
  if (currentRevision === 0) return 0;
  throw new CommandError(
    ExitCode.INVALID_DOCUMENT,
    'base_revision is missing: start from `catalogue get`, or pass the ' +
      'revision that the edit is based on with --base',
  );
}

/** Reads the accepted catalogue; undefined if there is none yet. */
async function readCurrentRevision(
  store: ObjectStore,
): Promise<CatalogueRevision | undefined> {
  const catalogueStore = new CatalogueStore(store);
  const snapshot = await catalogueStore.readHead();
  if (!snapshot.ok) {
    if (snapshot.val.kind === StoreErrorKind.NOT_FOUND) return undefined;
    throw toStoreCommandError(snapshot.val);
  }
  const revision = await catalogueStore.readRevision(snapshot.val.head);
  if (!revision.ok) throw toStoreCommandError(revision.val);
  return revision.val;
}

async function readRevisionDocument(
  store: ObjectStore,
  revision: number,
): Promise<CatalogueDocument> {
  const catalogueStore = new CatalogueStore(store);
  for await (const manifest of readManifests(store)) {
    if (manifest.revision !== revision) continue;
    const values: unknown[] = [];
    for (const digest of manifest.chunks) {
      const value = await catalogueStore.readContent(digest);
      if (!value.ok) throw toStoreCommandError(value.val);
      values.push(value.val);
    }
    return joinDocument(values);
  }
  throw new CommandError(
    ExitCode.NOT_FOUND,
    `the catalogue has no revision ${revision}`,
  );
}

/** Reads the manifests of the catalogue history, newest first. */
async function* readManifests(
  store: ObjectStore,
): AsyncGenerator<CatalogueManifest> {
  const catalogueStore = new CatalogueStore(store);
  const snapshot = await catalogueStore.readHead();
  if (!snapshot.ok) throw toStoreCommandError(snapshot.val);
  const head: CatalogueHead = snapshot.val.head;
  for await (const manifest of catalogueStore.readHistory(head)) {
    if (!manifest.ok) throw toStoreCommandError(manifest.val);
    yield manifest.val;
  }
}

function toChangeRows(
  before: CatalogueDocument,
  after: CatalogueDocument,
): OutputRow[] {
  return [...diffCatalogues(before, after)].map(({kind, item, fields}) => ({
    change: kind,
    item,
    fields: fields.join('; '),
  }));
}

function catalogueNotFound(): CommandError {
  return new CommandError(ExitCode.NOT_FOUND, 'there is no catalogue yet');
}
