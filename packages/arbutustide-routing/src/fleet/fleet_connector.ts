import type {Cancellation} from '@arbutustide/errors';
import type {AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {FleetUpstream, UpstreamLoad} from './fleet_upstream.js';
import type {RoutedRequest} from './routed_request.js';

/** The beginning of an upstream's answer. */
export interface UpstreamHead {
  readonly status: number;
  /** Names and values in turn, without those of the connection. */
  readonly headers: readonly string[];
  /** Whether the upstream says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another process has the upstream's address. */
  readonly isOtherInstance: boolean;
  /** Whether the answer carries the upstream's signature. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /** Load the upstream tells of itself, if it does. */
  readonly load: UpstreamLoad | undefined;
  /** Pieces of the body; throws `AttemptError` when it is cut short. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** What differs between attempts at one request. */
export interface AttemptTerms {
  /** Time the upstream may take, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Goes on after this event; undefined to begin at the first. */
  readonly resumeAfter: number | undefined;
  readonly cancel: Cancellation;
}

/** Sends requests to upstreams. */
export interface FleetConnector {
  open(
    upstream: FleetUpstream,
    request: RoutedRequest,
    terms: AttemptTerms,
  ): Promise<Result<UpstreamHead, AttemptError>>;
  /** Closes the connections to an upstream that is gone, as they fall idle. */
  forget(upstreamId: string): void;
}
