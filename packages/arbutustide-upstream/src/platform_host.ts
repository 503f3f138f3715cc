import type {Result} from 'ts-results';

import type {AttemptError} from './attempt_error.js';

/** Kind of process on a host in the platform's list. */
export enum HostKind {
  /** A node of this system. */
  ENTRY_NODE = 'entry',
  /** A model engine. */
  ENGINE = 'engine',
  /** A plain service: an HTTP service that is not a model engine. */
  SERVICE = 'service',
}

/** Last known state of a host. */
export enum HostState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** One host of the platform's list. */
export interface PlatformHost {
  readonly id: string;
  readonly kind: HostKind;
  /** For a node of this system, the URL that its peers use. */
  readonly url: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: HostState;
  /** Group of hosts that serve the same plain service. */
  readonly group?: string | undefined;
  /** Whether an engine refuses orders with an outdated fencing token. */
  readonly checksFencing: boolean;
}

/**
 * The platform's list of live and leaving hosts. It lags: it may still
 * contain hosts that have stopped and lack new ones.
 */
export interface HostList {
  fetchHosts(): Promise<Result<readonly PlatformHost[], AttemptError>>;
}
