/** What may be repeated of the requests on a route. */
export enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT = 'idempotent',
  /** May run once at most. */
  NON_IDEMPOTENT = 'non_idempotent',
  /** Answered by a series of events; may be repeated where it is resumable. */
  STREAM = 'stream',
}

/** A service that takes part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share among the route's targets; relative to their sum. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and what they may expect. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time a request is kept, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time to the first byte of an answer that counts as on time. */
  readonly objectiveMilliseconds: number;
  /** Time after which callers give up a request without a first byte. */
  readonly patienceMilliseconds: number;
  /** Lower numbers go first. */
  readonly priority: number;
  /** Upstreams one request may be sent to. */
  readonly maximumAttempts: number;
  /** Whether a stream may go on at another upstream after its last event. */
  readonly isResumable: boolean;
}

/** A model or one of its adapters, as requests name it. */
export interface ModelName {
  readonly model: string;
  /** Undefined for the model itself. */
  readonly adapter: string | undefined;
}

/** A model of the catalogue, as engines load it. */
export interface ModelDescription {
  readonly name: string;
  readonly sizeMegabytes: number;
  /** Time of a load from the weight store, in milliseconds. */
  readonly storeLoadMilliseconds: number;
  /** Time of a load from the engine's own disk, in milliseconds. */
  readonly diskLoadMilliseconds: number;
  /** Time of a load from the engine's host memory, in milliseconds. */
  readonly memoryLoadMilliseconds: number;
  readonly adapterCount: number;
  readonly adapterMegabytes: number;
}

/** The engines of a service; all are alike. */
export interface EngineDescription {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit the engine's memory. */
  readonly memoryTokens: number;
  /** Room for weights, in megabytes. */
  readonly weightMegabytes: number;
  readonly adapterPlaces: number;
  /** Loads a second the weight store allows over all engines. */
  readonly storeLoadsPerSecond: number;
  /** Room for copies of weights in the engine's host memory. */
  readonly hostMemoryMegabytes: number;
  /** Room for copies of weights on the engine's own disk. */
  readonly diskMegabytes: number;
  readonly models: ReadonlyMap<string, ModelDescription>;
}

/** A group of like upstreams. */
export interface ServiceDescription {
  readonly name: string;
  readonly healthPath: string;
  /** Connections one upstream accepts from all nodes together. */
  readonly connectionLimit: number;
  /** Undefined for plain services. */
  readonly engine: EngineDescription | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** All routes and services in force at one version. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDescription>;
  readonly limits: CallerLimits;
}

/** Whether a request of the route may be sent again after it may have run. */
export function isRepeatable(route: Route): boolean {
  if (route.kind === RequestKind.STREAM) return route.isResumable;
  return route.kind === RequestKind.IDEMPOTENT;
}
