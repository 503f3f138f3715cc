/** Whether the requests of a route may be sent again. */
export enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT = 'idempotent',
  /** Must run at most once. */
  NON_IDEMPOTENT = 'non_idempotent',
  /** Answered by an event stream; may be sent again if it is resumable. */
  STREAM = 'stream',
}

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the sum of the weights of the route's targets. */
  readonly weight: number;
}

/** Targets, limits and retry rules for requests to a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly targets: readonly RouteTarget[];
  /** Time after which a request is ended, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Latency objective for the first byte of an answer. */
  readonly firstByteTargetMilliseconds: number;
  /** Time after which callers abort a request that got no first byte. */
  readonly callerTimeoutMilliseconds: number;
  /** Lower numbers are served first. */
  readonly priority: number;
  /** Maximum number of attempts for one request. */
  readonly maximumAttempts: number;
  /** Whether another upstream can continue a stream after its last event. */
  readonly isResumable: boolean;
  /** Whether callers need no key although the configuration has teams. */
  readonly isPublic: boolean;
}

/** What a team's quota counts. */
export enum QuotaUnit {
  REQUESTS = 'requests',
  TOKENS = 'tokens',
}

/** How much a team may use, over all nodes together. */
export interface TeamQuota {
  readonly unit: QuotaUnit;
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
  /** Cost in tokens of a request that names no token counts. */
  readonly plainTokens: number;
}

/** A team whose callers authenticate with a key. */
export interface TeamDescription {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /**
   * SHA-256 of further keys, as hexadecimal digits. A configuration that came
   * through a peer has these in place of keys.
   */
  readonly keyDigests?: readonly string[];
  /** Replaces the priority of the route; undefined to use the route's. */
  readonly priority: number | undefined;
  /** Undefined if the team has no limit. */
  readonly quota: TeamQuota | undefined;
}

/** The model, and the adapter if any, that a request asks for. */
export interface ModelReference {
  readonly model: string;
  /** Undefined for the model itself. */
  readonly adapter: string | undefined;
}

/** Sizes and load times of a model, for planning loads at engines. */
export interface ModelDescription {
  readonly name: string;
  readonly sizeMegabytes: number;
  /** Time to load it from the weight store, in milliseconds. */
  readonly storeLoadMilliseconds: number;
  /** Time to load it from the engine's disk, in milliseconds. */
  readonly diskLoadMilliseconds: number;
  /** Time to load it from the engine's host memory, in milliseconds. */
  readonly memoryLoadMilliseconds: number;
  readonly adapterCount: number;
  readonly adapterMegabytes: number;
}

/** Capacity of the engines of a service, which are all equal. */
export interface EngineDescription {
  /** Requests that an engine runs concurrently. */
  readonly slots: number;
  /** Tokens that fit in the engine's KV cache. */
  readonly tokenCapacity: number;
  /** Memory for weights, in megabytes. */
  readonly weightCapacityMegabytes: number;
  readonly adapterSlots: number;
  /** Loads per second that the weight store allows over all engines. */
  readonly storeLoadsPerSecond: number;
  /** Host memory of the engine for copies of weights. */
  readonly hostMemoryCapacityMegabytes: number;
  /** Disk space of the engine for copies of weights. */
  readonly diskCapacityMegabytes: number;
  readonly models: ReadonlyMap<string, ModelDescription>;
  /** Whether engines copy the memory of their runs to each other. */
  readonly movesMemory: boolean;
}

/** A group of interchangeable upstreams. */
export interface ServiceDescription {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts, summed over all nodes. */
  readonly connectionLimit: number;
  /** Undefined for plain services, which run no models. */
  readonly engine: EngineDescription | undefined;
}

/** Size and time limits on what a caller sends. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** All routes, services and limits of one configuration version. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDescription>;
  readonly limits: CallerLimits;
  /** Undefined if callers need no keys. */
  readonly teams: readonly TeamDescription[] | undefined;
}

/** Whether a request that may already have run may be sent again. */
export function isRepeatable(route: Route): boolean {
  if (route.kind === RequestKind.STREAM) return route.isResumable;
  return route.kind === RequestKind.IDEMPOTENT;
}
