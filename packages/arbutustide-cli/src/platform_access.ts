import type {ClusterNode} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {PlatformHost} from '@arbutustide/upstream';

import {
  ClusterView,
  ConnectPeerTransport,
  ExchangeRequestSchema,
  MemberTable,
  OwnRecord,
} from '@arbutustide/membership';
import {HttpObjectStore} from '@arbutustide/object-store';
import {HostKind, HttpHostList} from '@arbutustide/upstream';
import {create} from '@bufbuild/protobuf';

import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import type {OutputFormat} from './output.js';

const CALL_TIMEOUT_MILLISECONDS = 5_000;
const WATCH_TIMEOUT_MILLISECONDS = 1_000;
/** Longer than a command runs, so that no record of a node expires. */
const RECORD_EXPIRY_MILLISECONDS = 3_600_000;

/** Options of all commands that access the platform. */
export interface PlatformOptions {
  readonly objectStore?: string;
  readonly hostList?: string;
  readonly output: OutputFormat;
}

/**
 * Opens the object API with the token in `ARBUTUSTIDE_TOKEN`. Throws `USAGE` if
 * its URL is missing.
 */
export function openObjectStore(options: PlatformOptions): ObjectStore {
  if (!options.objectStore) {
    throw new CommandError(
      ExitCode.USAGE,
      '--object-store: the URL of the object API is required',
    );
  }
  return new HttpObjectStore({
    url: options.objectStore,
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    watchMilliseconds: WATCH_TIMEOUT_MILLISECONDS,
    token: process.env['ARBUTUSTIDE_TOKEN'],
  });
}

/** Lists the platform's hosts; empty if the host list cannot be read. */
export async function listHosts(
  options: PlatformOptions,
): Promise<readonly PlatformHost[]> {
  if (!options.hostList) return [];
  const hostList = new HttpHostList({
    url: options.hostList,
    maximumConnections: 1,
    connectTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    callTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  const hosts = await hostList.fetchHosts();
  return hosts.ok ? hosts.val : [];
}

/**
 * Lists all nodes in the membership of the first node that answers; empty if
 * none answers.
 */
export async function listNodes(
  options: PlatformOptions,
): Promise<readonly ClusterNode[]> {
  const hosts = await listHosts(options);
  const transport = new ConnectPeerTransport(CALL_TIMEOUT_MILLISECONDS, () => {
    // The call reports its failure.
  });
  for (const {kind, url} of hosts) {
    if (kind !== HostKind.ENTRY_NODE) continue;
    const request = create(ExchangeRequestSchema, {sender: 'operator'});
    const answer = await transport.exchange(url, request);
    if (!answer.ok) continue;
    const ownRecord = new OwnRecord('operator', 0);
    const table = new MemberTable(ownRecord, RECORD_EXPIRY_MILLISECONDS);
    table.merge(answer.val.deltas);
    return new ClusterView(table).nodes();
  }
  return [];
}
