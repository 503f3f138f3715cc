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

import {CommandError, toStoreCommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {printRows} from './output.js';
import {openObjectStore, listHosts, listNodes} from './platform_access.js';

/** `status`: prints the catalogue, nodes, planner leases and workers. */
export async function statusCommand(options: PlatformOptions): Promise<void> {
  const store = openObjectStore(options);
  const head = await new CatalogueStore(store).readHead();
  const nodes = await listNodes(options);
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
  for (const worker of await listWorkers(options))
    rows.push(toWorkerRow(worker));
  printRows(rows, options.output);
}

/** `moves`: prints the latest orders of the planner of a region. */
export async function listMovesCommand(
  options: PlatformOptions & {readonly region: string; readonly limit: string},
): Promise<void> {
  const stored = await openObjectStore(options).get(moveLogKey(options.region));
  if (!stored.ok) throw toStoreCommandError(stored.val);
  const moves = parseMoves(stored.val.value).slice(-Number(options.limit));
  printRows(moves, options.output);
}

/**
 * `explain ENTRY`: prints the hosts or workers that have the entry. With
 * `--node`, prints the replicas with the times that this node predicts.
 */
export async function explainCommand(
  entryName: string,
  options: PlatformOptions & {readonly node?: string},
): Promise<void> {
  if (options.node) {
    await explainFromNode(entryName, options.node, options);
    return;
  }
  const entryWithItem = await readEntry(entryName, options);
  const {entry} = entryWithItem;
  if (entry.kind === EntryKind.SERVICE) {
    const hosts = await listHosts(options);
    const rows = hosts
      .filter(({kind, group}) => {
        return kind === HostKind.SERVICE && group === entry.hostGroup;
      })
      .map(({id, failureDomain, state}) => ({host: id, failureDomain, state}));
    printRows(rows, options.output);
    return;
  }
  const workers = await listWorkers(options);
  const rows = workers.flatMap(worker => toReplicaRows(worker, entryWithItem));
  printRows(rows, options.output);
}

async function explainFromNode(
  entryName: string,
  nodeUrl: string,
  options: PlatformOptions,
): Promise<void> {
  const url = `${nodeUrl}/explain/${encodeURIComponent(entryName)}`;
  const response = await fetch(url);
  if (response.status === 404) throw entryNotFound(entryName);
  const explanation = (await response.json()) as EntryExplanation;
  const rows = explanation.replicas.map(replica => ({
    ...replica,
    item: replica.item ?? '',
    predictedMilliseconds: Math.round(replica.predictedMilliseconds),
  }));
  printRows(rows, options.output);
}

/** An entry, and the item name of its current version at the engines. */
interface CatalogueEntryWithItem {
  readonly entry: CatalogueEntry;
  readonly currentItem: string;
}

async function readEntry(
  entryName: string,
  options: PlatformOptions,
): Promise<CatalogueEntryWithItem> {
  const catalogueStore = new CatalogueStore(openObjectStore(options));
  const snapshot = await catalogueStore.readHead();
  if (!snapshot.ok) throw toStoreCommandError(snapshot.val);
  const revision = await catalogueStore.readRevision(snapshot.val.head);
  if (!revision.ok) throw toStoreCommandError(revision.val);
  const entry = revision.val.findEntry(entryName);
  if (!entry) throw entryNotFound(entryName);
  return {entry, currentItem: revision.val.itemName(entry)};
}

async function listWorkers(options: PlatformOptions): Promise<StoredWorker[]> {
  const workers = await new LedgerStore(openObjectStore(options)).readAll();
  if (!workers.ok) throw toStoreCommandError(workers.val);
  return workers.val;
}

function toWorkerRow({record}: StoredWorker): OutputRow {
  const committedShare = committedBytes(record) / record.memoryBytes;
  return {
    what: 'worker',
    name: record.upstreamId,
    state: `${Math.round(100 * committedShare)}% of memory committed`,
    detail:
      `${record.failureDomain}, ${record.items.length} items, ` +
      `${record.intents.length} orders in flight`,
  };
}

function toReplicaRows(
  {record}: StoredWorker,
  {entry, currentItem}: CatalogueEntryWithItem,
) {
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

function entryNotFound(entryName: string): CommandError {
  return new CommandError(
    ExitCode.NOT_FOUND,
    `the catalogue has no entry "${entryName}"`,
  );
}
