/** Retry budget that all nodes share. */
export interface RetryBudgetSettings {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
}

/** Limit on model loads from the weight store, over all engines. */
export interface StoreLoadSettings {
  readonly windowMilliseconds: number;
  /** Factor by which the loads of one window may exceed the store's rate. */
  readonly excessFactor: number;
}

/** How revoked keys of teams take effect. */
export interface RevocationSettings {
  /**
   * Whether a node refuses requests with keys while it cannot show that it
   * knows of revocations.
   */
  readonly isClosed: boolean;
  /** Time from a revocation until no new request with the key may run. */
  readonly boundMilliseconds: number;
}

/** What teams may exceed their quotas by. */
export interface QuotaRuleSettings {
  readonly windowMilliseconds: number;
  /** Share of a window's quota by which it may be exceeded. */
  readonly overShare: number;
  /** Tokens by which it may be exceeded besides. */
  readonly slack: number;
}

/** Times of a graceful shutdown, from its beginning. */
export interface ShutdownTimes {
  /** When the balancer sends this node no more connections, at the latest. */
  readonly balancerRemovalMilliseconds: number;
  /**
   * When requests that are still in flight are given up, early enough for the
   * process to end in time.
   */
  readonly drainMilliseconds: number;
}

/** Settings that a proxying node reads when it starts. */
export interface ProxySettings {
  readonly nodeName: string;
  /** IP address at which peers reach this node. */
  readonly address: string;
  readonly failureDomain: string;
  /**
   * Price of the bytes that cross failure domains, as the share of a request's
   * time by which it may be served later to save them; a default if absent.
   */
  readonly crossDomainPriceShare?: number;
  readonly region: string;
  readonly peerPort: number;
  /** IP addresses of nodes to join through; some may no longer exist. */
  readonly seedAddresses: readonly string[];
  /** Interval at which an upstream renews its entry in the platform's list. */
  readonly upstreamBeatMilliseconds: number;
  /** Time from the request to stop until the process must have ended. */
  readonly stopMilliseconds: number;
  readonly shutdown: ShutdownTimes;
  /**
   * Time within which a change of the configuration or of the list of upstreams
   * must be in effect.
   */
  readonly changeBoundMilliseconds: number;
  readonly leaseMilliseconds: number;
  /** Whether engines refuse orders with an outdated fencing token. */
  readonly areFencesChecked: boolean;
  /**
   * Drift between wall clock and monotonic clock up to which the process does
   * not count as having been suspended.
   */
  readonly suspensionToleranceMilliseconds: number;
  readonly retry: RetryBudgetSettings;
  readonly loads: StoreLoadSettings;
  readonly revocation: RevocationSettings;
  /** A default rule if absent. */
  readonly quotaRule?: QuotaRuleSettings;
}
