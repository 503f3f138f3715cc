import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {EntryExplanation} from '@arbutustide/node';
import type {StoredWorker} from '@arbutustide/placement';

import type {OutputRow} from './output.js';
import type {PlatformOptions} from './platform_access.js';

import {CatalogueStore, EntryKind} from '@arbutustide/catalogue';
import {NodeState} from '@arbutustide/membership';
import {
  committedBytes,
  LedgerStore,
  leaseKey,
  moveLogKey,
  parseLease,
  parseMoves,
} from '@arbutustide/placement';
import {HostKind} from '@arbutustide/upstream';
import {fetch} from 'undici';

import {CommandError, storeFailure} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {printRows} from './output.js';
import {openStore, readHosts, readNodes} from './platform_access.js';

/** `status` */
export async function statusCommand(options: PlatformOptions): Promise<void> {
  const store = openStore(options);
  const head = await new CatalogueStore(store).readHead();
  const nodes = await readNodes(options);
  const rows: OutputRow[] = [
    {
      what: 'catalogue',
      name: 'accepted',
      state: head.ok ? `revision ${head.val.head.revision}` : head.val.kind,
      detail: '',
    },
  ];
  for (const node of nodes) {
    rows.push({
      what: 'node',
      name: node.name,
      state: NodeState[node.state].toLowerCase(),
      detail: `${node.failureDomain}, revision ${node.catalogueRevision}`,
    });
  }
  const regions = new Set(nodes.map(({region}) => region));
  for (const region of regions) {
    const stored = await store.get(leaseKey(region));
    const lease = stored.ok ? parseLease(stored.val.value) : undefined;
    rows.push({
      what: 'planner',
      name: region,
      state: lease?.holder || 'free',
      detail: `epoch ${lease?.epoch ?? 0}`,
    });
  }
  for (const worker of await readWorkers(options)) rows.push(workerRow(worker));
  printRows(rows, options.output);
}

/** `moves` */
export async function movesCommand(
  options: PlatformOptions & {readonly region: string; readonly limit: string},
): Promise<void> {
  const stored = await openStore(options).get(moveLogKey(options.region));
  if (!stored.ok) throw storeFailure(stored.val);
  const moves = parseMoves(stored.val.value).slice(-Number(options.limit));
  printRows(moves, options.output);
}

/** `explain ENTRY`: where it is, and where a request would go. */
export async function explainCommand(
  entryName: string,
  options: PlatformOptions & {readonly node?: string},
): Promise<void> {
  if (options.node) {
    await explainAtNode(entryName, options.node, options);
    return;
  }
  const found = await readEntry(entryName, options);
  const {entry} = found;
  if (entry.kind === EntryKind.SERVICE) {
    const hosts = await readHosts(options);
    const rows = hosts
      .filter(({kind, group}) => {
        return kind === HostKind.SERVICE && group === entry.hostGroup;
      })
      .map(({id, failureDomain, state}) => ({host: id, failureDomain, state}));
    printRows(rows, options.output);
    return;
  }
  const workers = await readWorkers(options);
  const rows = workers.flatMap(worker => replicaRows(worker, found));
  printRows(rows, options.output);
}

async function explainAtNode(
  entryName: string,
  nodeUrl: string,
  options: PlatformOptions,
): Promise<void> {
  const url = `${nodeUrl}/explain/${encodeURIComponent(entryName)}`;
  const response = await fetch(url);
  if (response.status === 404) throw noEntry(entryName);
  const explanation = (await response.json()) as EntryExplanation;
  const rows = explanation.replicas.map(replica => ({
    ...replica,
    item: replica.item ?? '',
    predictedMilliseconds: Math.round(replica.predictedMilliseconds),
  }));
  printRows(rows, options.output);
}

/** An entry with the item by which engines hold its current version. */
interface FoundEntry {
  readonly entry: CatalogueEntry;
  readonly currentItem: string;
}

async function readEntry(
  entryName: string,
  options: PlatformOptions,
): Promise<FoundEntry> {
  const catalogueStore = new CatalogueStore(openStore(options));
  const snapshot = await catalogueStore.readHead();
  if (!snapshot.ok) throw storeFailure(snapshot.val);
  const revision = await catalogueStore.readRevision(snapshot.val.head);
  if (!revision.ok) throw storeFailure(revision.val);
  const entry = revision.val.entry(entryName);
  if (!entry) throw noEntry(entryName);
  return {entry, currentItem: revision.val.itemName(entry)};
}

async function readWorkers(options: PlatformOptions): Promise<StoredWorker[]> {
  const workers = await new LedgerStore(openStore(options)).readAll();
  if (!workers.ok) throw storeFailure(workers.val);
  return workers.val;
}

function workerRow({record}: StoredWorker): OutputRow {
  const share = committedBytes(record) / record.memoryBytes;
  return {
    what: 'worker',
    name: record.upstreamId,
    state: `${Math.round(100 * share)}% of memory committed`,
    detail:
      `${record.failureDomain}, ${record.items.length} items, ` +
      `${record.intents.length} orders under way`,
  };
}

function replicaRows({record}: StoredWorker, {entry, currentItem}: FoundEntry) {
  const prefix = `${entry.name}@`;
  const resident = record.items
    .filter(({item}) => item.startsWith(prefix))
    .map(({item}) => ({item, state: 'resident'}));
  const ordered = record.intents
    .filter(({item}) => item.startsWith(prefix))
    .map(({item, kind}) => ({item, state: `${kind} ordered`}));
  return [...resident, ...ordered].map(({item, state}) => ({
    worker: record.upstreamId,
    failureDomain: record.failureDomain,
    item,
    current: item === currentItem,
    state,
  }));
}

function noEntry(entryName: string): CommandError {
  return new CommandError(
    ExitCode.NOT_FOUND,
    `the catalogue has no entry "${entryName}"`,
  );
}
