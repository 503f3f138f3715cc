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

const CALL_MILLISECONDS = 5_000;
const WATCH_MILLISECONDS = 1_000;
const NEVER_EXPIRES_MILLISECONDS = 3_600_000;

/** Options every operators' command takes. */
export interface PlatformOptions {
  readonly objectStore?: string;
  readonly hostList?: string;
  readonly output: OutputFormat;
}

/** The object API with the operator's own credentials. */
export function openStore(options: PlatformOptions): ObjectStore {
  if (!options.objectStore) {
    throw new CommandError(
      ExitCode.USAGE,
      '--object-store: the URL of the object API is needed',
    );
  }
  return new HttpObjectStore({
    url: options.objectStore,
    timeoutMilliseconds: CALL_MILLISECONDS,
    watchMilliseconds: WATCH_MILLISECONDS,
    token: process.env['ARBUTUSTIDE_TOKEN'],
  });
}

/** The platform's hosts; an empty list when none can be had. */
export async function readHosts(
  options: PlatformOptions,
): Promise<readonly PlatformHost[]> {
  if (!options.hostList) return [];
  const list = new HttpHostList({
    url: options.hostList,
    maximumConnections: 1,
    connectTimeoutMilliseconds: CALL_MILLISECONDS,
    callTimeoutMilliseconds: CALL_MILLISECONDS,
  });
  const hosts = await list.hosts();
  return hosts.ok ? hosts.val : [];
}

/** All nodes, as the first node that answers knows them. */
export async function readNodes(
  options: PlatformOptions,
): Promise<readonly ClusterNode[]> {
  const hosts = await readHosts(options);
  const transport = new ConnectPeerTransport(CALL_MILLISECONDS);
  for (const {kind, url} of hosts) {
    if (kind !== HostKind.ENTRY) continue;
    const request = create(ExchangeRequestSchema, {sender: 'operator'});
    const answer = await transport.exchange(url, request);
    if (!answer.ok) continue;
    const own = new OwnRecord('operator', 0);
    const table = new MemberTable(own, NEVER_EXPIRES_MILLISECONDS);
    table.merge(answer.val.deltas);
    return new ClusterView(table).nodes();
  }
  return [];
}
