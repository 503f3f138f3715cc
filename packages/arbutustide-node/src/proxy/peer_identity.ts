import type {ProxySettings} from './proxy_settings.js';

import {randomUUID} from 'node:crypto';

/** Hexadecimal characters of an instance id; makes collisions negligible. */
const INSTANCE_ID_LENGTH = 12;
const IDENTITY_PATTERN = /^([^#]+)#/;

/** Identifies one run of a node's process among its peers. */
export interface PeerIdentity {
  /** `address:port#instanceId`; the instance id is random for each start. */
  readonly identity: string;
  readonly peerUrl: string;
}

/** Creates the identity of this process, with a new instance id. */
export function createPeerIdentity({
  address,
  peerPort,
}: ProxySettings): PeerIdentity {
  const instanceId = randomUUID()
    .replaceAll('-', '')
    .slice(0, INSTANCE_ID_LENGTH);
  const endpoint = `${address}:${peerPort}`;
  return {identity: `${endpoint}#${instanceId}`, peerUrl: `http://${endpoint}`};
}

/**
 * URL at which the process with this identity serves its peers; undefined if
 * the identity contains no address.
 */
export function peerUrlFromIdentity(identity: string): string | undefined {
  const endpoint = IDENTITY_PATTERN.exec(identity)?.[1];
  return endpoint && `http://${endpoint}`;
}

/** Addresses of the settings, and of the last known holder of the lease. */
export function seedPeerUrls(
  {seedAddresses, peerPort}: Pick<ProxySettings, 'seedAddresses' | 'peerPort'>,
  lastHolder: string,
): Set<string> {
  const urls = new Set(
    seedAddresses.map(address => `http://${address}:${peerPort}`),
  );
  const holderUrl = peerUrlFromIdentity(lastHolder);
  if (holderUrl) urls.add(holderUrl);
  return urls;
}
