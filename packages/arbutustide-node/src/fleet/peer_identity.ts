import type {FleetSettings} from './fleet_settings.js';

import {randomUUID} from 'node:crypto';

/** Characters of a start id; enough that no two starts draw the same. */
const INSTANCE_ID_LENGTH = 12;
const IDENTITY_PATTERN = /^([^#]+)#/;

/** Who a process is among its peers. */
export interface PeerIdentity {
  /** Address, port and an id drawn at the start. */
  readonly identity: string;
  readonly peerUrl: string;
}

/** Draws the identity of a process that starts. */
export function createPeerIdentity({
  address,
  peerPort,
}: FleetSettings): PeerIdentity {
  const instanceId = randomUUID()
    .replaceAll('-', '')
    .slice(0, INSTANCE_ID_LENGTH);
  const endpoint = `${address}:${peerPort}`;
  return {identity: `${endpoint}#${instanceId}`, peerUrl: `http://${endpoint}`};
}

/** The address at which the process of an identity listens to its peers. */
export function peerUrlFromIdentity(identity: string): string | undefined {
  const endpoint = IDENTITY_PATTERN.exec(identity)?.[1];
  return endpoint && `http://${endpoint}`;
}
