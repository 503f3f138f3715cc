import type {Cancellation} from '@arbutustide/errors';

import type {ModelReference, Route} from './route.js';

import {createHash} from 'node:crypto';

/** Base64 characters (96 bits): no two requests of a day collide. */
const FINGERPRINT_LENGTH = 16;

/** A segment of a prompt; equal leading segments are a shared prefix. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** Model, prompt and output limit of a request to an engine. */
export interface ModelRequest extends ModelReference {
  readonly promptTokens: number;
  /** Maximum number of tokens in the answer. */
  readonly maximumOutputTokens: number;
  /** In prompt order; the last segment is unique to the request. */
  readonly promptSegments: readonly PromptSegment[];
}

/**
 * Ids of the segments that other requests may share: all but the last, which
 * belongs to the request or its session.
 */
export function sharedSegmentIds({promptSegments}: ModelRequest): string[] {
  return promptSegments.slice(0, -1).map(({id}) => id);
}

/** Hash that is equal for requests with the same effect at an upstream. */
export function fingerprintRoutedRequest(request: RoutedRequest): string {
  const hash = createHash('sha1').update(request.route.host);
  hash.update('\0').update(request.method);
  hash.update('\0').update(request.requestTarget).update('\0');
  if (request.body) hash.update(request.body);
  return hash.digest('base64').slice(0, FINGERPRINT_LENGTH);
}

/** The team whose key a request carries. */
export interface RequestTeam {
  readonly name: string;
  /** Replaces the priority of the route; undefined to use the route's. */
  readonly priority: number | undefined;
  /** SHA-256 of the key; the key itself is dropped when the request is read. */
  readonly keyDigest: Uint8Array;
}

/** A request whose headers and body are forwarded unchanged. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly route: Route;
  /** Undefined if the route is public or the configuration has no teams. */
  readonly team: RequestTeam | undefined;
  /** The service selected among the route's targets. */
  readonly service: string;
  /** Version of the configuration that the route was taken from. */
  readonly configurationVersion: number;
  readonly method: string;
  /** HTTP request target: path and query as the caller sent them. */
  readonly requestTarget: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Undefined for requests to plain services. */
  readonly modelRequest: ModelRequest | undefined;
  /** Id of the last event that the caller has, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  /**
   * Id of the caller's request that began the stream which this one resumes;
   * undefined if the caller names none.
   */
  readonly resumedRequestId: string | undefined;
  /** Earliest time at which it can have arrived (monotonic). */
  readonly arrivedAtMilliseconds: number;
  /** Longest time for which it can have waited until this node read it. */
  readonly unreadMilliseconds: number;
  /** Until when it is known that the caller had not left (monotonic). */
  readonly callerSeenAtMilliseconds: number;
  /** Earlier of the caller's deadline and the route's timeout (monotonic). */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller disconnects. */
  readonly disconnection: Cancellation;
}

/** Requests of this priority are served before all others. */
export const HIGHEST_PRIORITY = 0;

/** Priority of a request; lower numbers are served first. */
export function effectivePriority({
  team,
  route,
}: Pick<RoutedRequest, 'team' | 'route'>): number {
  return team?.priority ?? route.priority;
}
