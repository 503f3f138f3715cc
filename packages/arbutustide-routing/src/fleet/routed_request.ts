import type {Cancellation} from '@arbutustide/errors';

import type {ModelName, Route} from './route.js';

import {createHash} from 'node:crypto';

/** Enough that no two requests of a day share a fingerprint. */
const FINGERPRINT_LENGTH = 16;

/** A part of a prompt; requests that begin with the same parts share them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of an engine. */
export interface ModelRequest extends ModelName {
  readonly promptTokens: number;
  /** Most tokens the answer may have. */
  readonly maximumOutputTokens: number;
  /** Parts of the prompt in order; the last belongs to the request alone. */
  readonly promptParts: readonly PromptPart[];
}

/** Identifies requests that would do the same to an upstream. */
export function fingerprintRoutedRequest(request: RoutedRequest): string {
  const hash = createHash('sha1').update(request.route.host);
  hash.update('\0').update(request.method);
  hash.update('\0').update(request.target).update('\0');
  if (request.body) hash.update(request.body);
  return hash.digest('base64').slice(0, FINGERPRINT_LENGTH);
}

/** A request whose body and headers are passed on as they came. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly route: Route;
  /** The service the route's split gave. */
  readonly service: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values in turn, without those of the connection. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Undefined for requests to plain services. */
  readonly modelRequest: ModelRequest | undefined;
  /** Last event the caller already has, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  /** By the monotonic clock, in milliseconds. */
  readonly arrivedAtMilliseconds: number;
  /** Earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller goes away. */
  readonly presence: Cancellation;
}
