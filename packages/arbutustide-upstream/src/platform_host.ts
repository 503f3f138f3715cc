import type {Result} from 'ts-results';

import type {AttemptError} from './attempt_error.js';

/** What a host in the platform's list runs. */
export enum HostKind {
  /** A node of this system. */
  ENTRY = 'entry',
  /** A model engine. */
  ENGINE = 'engine',
  /** A plain service. */
  SERVICE = 'service',
}

/** State of a host as its latest source says; the list lags. */
export enum HostState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** One host of the platform's list. */
export interface PlatformHost {
  readonly id: string;
  readonly kind: HostKind;
  /** For an entry host the address its peers use. */
  readonly url: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: HostState;
  /** Group of a plain service's hosts. */
  readonly group?: string | undefined;
  /** Whether an engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
}

/** The platform's list of live and leaving hosts; it lags both ways. */
export interface HostList {
  hosts(): Promise<Result<readonly PlatformHost[], AttemptError>>;
}
