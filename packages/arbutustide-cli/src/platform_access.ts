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
const RECORD_EXPIRY_MILLISECONDS = 3_600_000;

/** Options every operators' command takes. */
export interface PlatformOptions {
  readonly objectStore?: string;
  readonly hostList?: string;
  readonly output: OutputFormat;
}

/** The object API with the operator's own credentials. */
export function openObjectStore(options: PlatformOptions): ObjectStore {
  if (!options.objectStore) {
    throw new CommandError(
      ExitCode.USAGE,
      '--object-store: the URL of the object API is needed',
    );
  }
  return new HttpObjectStore({
    url: options.objectStore,
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    watchMilliseconds: WATCH_TIMEOUT_MILLISECONDS,
    token: process.env['ARBUTUSTIDE_TOKEN'],
  });
}

/** The platform's hosts; an empty list when none can be had. */
export async function listHosts(
  options: PlatformOptions,
): Promise<readonly PlatformHost[]> {
  if (!options.hostList) return [];
  const list = new HttpHostList({
    url: options.hostList,
    maximumConnections: 1,
    connectTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    callTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  const hosts = await list.hosts();
  return hosts.ok ? hosts.val : [];
}

/** All nodes, as the first node that answers knows them. */
export async function listNodes(
  options: PlatformOptions,
): Promise<readonly ClusterNode[]> {
  const hosts = await listHosts(options);
  const transport = new ConnectPeerTransport(CALL_TIMEOUT_MILLISECONDS);
  for (const {kind, url} of hosts) {
    if (kind !== HostKind.ENTRY) continue;
    const request = create(ExchangeRequestSchema, {sender: 'operator'});
    const answer = await transport.exchange(url, request);
    if (!answer.ok) continue;
    const own = new OwnRecord('operator', 0);
    const table = new MemberTable(own, RECORD_EXPIRY_MILLISECONDS);
    table.merge(answer.val.deltas);
    return new ClusterView(table).nodes();
  }
  return [];
}
