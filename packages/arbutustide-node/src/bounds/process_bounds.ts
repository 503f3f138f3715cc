import type {ServerBounds} from './connection_bounds.js';

/** Resources that a process may use. */
export interface ProcessResources {
  readonly memoryBytes: number;
  readonly fileDescriptors: number;
}

/** What the callers of a process can make it hold, all of them together. */
export interface ProcessBounds {
  /** Connections of callers. */
  readonly callerConnections: number;
  /** Connections of each other server: readiness, metrics. */
  readonly statusConnections: number;
  /** Requests of one connection whose answers are not sent. */
  readonly requestsPerConnection: number;
  /** Requests of all connections of a server whose answers are not sent. */
  readonly requests: number;
  /** Bytes of request bodies that are read or wait to be passed on. */
  readonly bodyBytes: number;
  /** Bytes of answers that callers have not taken. */
  readonly unreadBytes: number;
}

const MEBIBYTE = 1_024 * 1_024;
/** Used where the settings name no resources. */
export const DEFAULT_RESOURCES: ProcessResources = {
  memoryBytes: 350 * MEBIBYTE,
  fileDescriptors: 4_096,
};
/** The rest is for upstreams, peers, the store, files and the other servers. */
const CALLER_CONNECTION_SHARE = 0.5;
const STATUS_CONNECTIONS = 64;
const REQUESTS_PER_CONNECTION = 32;
const STATUS_REQUESTS_PER_CONNECTION = 8;
const STATUS_UNREAD_SHARE = 0.25;
/** Memory that a request takes beside its body. */
const REQUEST_BYTES = 32 * 1_024;
const REQUESTS_SHARE = 0.15;
const BODIES_SHARE = 0.1;
const UNREAD_SHARE = 0.1;

/** The bounds that keep a process within its resources. */
export function createProcessBounds({
  memoryBytes,
  fileDescriptors,
}: ProcessResources = DEFAULT_RESOURCES): ProcessBounds {
  return {
    callerConnections: Math.floor(CALLER_CONNECTION_SHARE * fileDescriptors),
    statusConnections: STATUS_CONNECTIONS,
    requestsPerConnection: REQUESTS_PER_CONNECTION,
    requests: Math.floor((REQUESTS_SHARE * memoryBytes) / REQUEST_BYTES),
    bodyBytes: Math.floor(BODIES_SHARE * memoryBytes),
    unreadBytes: Math.floor(UNREAD_SHARE * memoryBytes),
  };
}

/** Bounds of the server for callers. */
export function boundCallerServer({
  callerConnections: connections,
  requestsPerConnection,
  requests,
  unreadBytes,
}: ProcessBounds): ServerBounds {
  return {connections, requestsPerConnection, requests, unreadBytes};
}

/**
 * Bounds of a server for readiness checks or for metrics. The requests of some
 * connections never keep others from an answer.
 */
export function boundStatusServer({
  statusConnections: connections,
  unreadBytes,
}: ProcessBounds): ServerBounds {
  return {
    connections,
    requestsPerConnection: STATUS_REQUESTS_PER_CONNECTION,
    requests: connections * STATUS_REQUESTS_PER_CONNECTION,
    unreadBytes: Math.floor(STATUS_UNREAD_SHARE * unreadBytes),
  };
}
