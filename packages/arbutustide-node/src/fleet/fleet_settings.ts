/** Bounds on retries over all nodes. */
export interface RetrySettings {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed besides, in one window. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
}

/** Bounds on loads from the weight store over all engines. */
export interface LoadSettings {
  readonly windowMilliseconds: number;
  /** Factor by which a window's loads may exceed the store's rate. */
  readonly excessFactor: number;
}

/** What a node that serves routes needs to know at its start. */
export interface FleetSettings {
  readonly nodeName: string;
  /** IP address at which peers reach this node. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly peerPort: number;
  /** IP addresses of some nodes; they may be gone. */
  readonly seedAddresses: readonly string[];
  /** Time between two writes of an upstream to the platform's list. */
  readonly upstreamBeatMilliseconds: number;
  /** Time from a stop being asked for to the end of the process. */
  readonly stopMilliseconds: number;
  readonly leaseMilliseconds: number;
  /** Whether engines refuse orders whose fencing token is an old one. */
  readonly areFencesChecked: boolean;
  /** Drift between the clocks that does not mean the process was suspended. */
  readonly suspensionToleranceMilliseconds: number;
  readonly retry: RetrySettings;
  readonly loads: LoadSettings;
}
