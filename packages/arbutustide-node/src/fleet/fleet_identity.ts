import type {FleetSettings} from './fleet_settings.js';

import {randomUUID} from 'node:crypto';

/** Characters of a start id; enough that no two starts draw the same. */
const START_ID_LENGTH = 12;
const IDENTITY_FORM = /^([^#]+)#/;

/** Who a process is among its peers. */
export interface Identity {
  /** Address, port and an id drawn at the start. */
  readonly identity: string;
  readonly peerUrl: string;
}

/** Draws the identity of a process that starts. */
export function drawIdentity({address, peerPort}: FleetSettings): Identity {
  const startId = randomUUID().replaceAll('-', '').slice(0, START_ID_LENGTH);
  const place = `${address}:${peerPort}`;
  return {identity: `${place}#${startId}`, peerUrl: `http://${place}`};
}

/** The address at which the process of an identity listens to its peers. */
export function peerUrlOfIdentity(identity: string): string | undefined {
  const place = IDENTITY_FORM.exec(identity)?.[1];
  return place && `http://${place}`;
}
