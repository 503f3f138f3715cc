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
  differences,
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

/** Options of commands that write a revision. */
export interface CatalogueWriteOptions extends PlatformOptions {
  readonly base?: string;
  readonly author?: string;
  readonly writeId?: string;
  /** Longest time to wait until it is in force everywhere. */
  readonly wait?: string | boolean;
}

/** `catalogue validate FILE` */
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

/** `catalogue diff FILE` */
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

/** `catalogue get [REVISION]` */
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

/** `catalogue apply FILE` */
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

/** `catalogue rollback REVISION`: a new revision with old content. */
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

/** `catalogue history` */
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
  const accepted = await new CatalogueStore(store).accept({
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
        'whether the edit was accepted is not known; the same command with ' +
          `--write-id ${writeId} --base ${baseRevision} finds out`,
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

/** Waits until every node that serves callers has the revision in force. */
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
        `revision ${revision} is accepted, but in force in ${inForce} of ` +
          `${serving.length} nodes after ${elapsedMilliseconds} ms`,
      );
    }
    await delay(IN_FORCE_POLL_INTERVAL_MILLISECONDS);
  }
}

/** Tells the operator what another one changed in the meantime. */
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
    `the catalogue went from revision ${baseRevision} to ` +
      `${current.revision} meanwhile; nothing of the edit was taken. ` +
      `Changed since:\n${changes}\nGet it, edit again, and apply.`,
  );
}

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
    'base_revision is missing: start from `catalogue get`, or name the ' +
      'revision the edit starts from with --base',
  );
}

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
    `there is no revision ${revision}`,
  );
}

async function* readManifests(
  store: ObjectStore,
): AsyncGenerator<CatalogueManifest> {
  const catalogueStore = new CatalogueStore(store);
  const snapshot = await catalogueStore.readHead();
  if (!snapshot.ok) throw toStoreCommandError(snapshot.val);
  const head: CatalogueHead = snapshot.val.head;
  for await (const manifest of catalogueStore.history(head)) {
    if (!manifest.ok) throw toStoreCommandError(manifest.val);
    yield manifest.val;
  }
}

function toChangeRows(
  before: CatalogueDocument,
  after: CatalogueDocument,
): OutputRow[] {
  return [...differences(before, after)].map(({kind, item, fields}) => ({
    change: kind,
    item,
    fields: fields.join('; '),
  }));
}

function catalogueNotFound(): CommandError {
  return new CommandError(ExitCode.NOT_FOUND, 'there is no catalogue yet');
}
