import type {Cancellation, RefusalError} from '@arbutustide/errors';
import type {AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {UpstreamResponseHead} from '../proxy_connector.js';
import type {RoutedRequest} from '../routed_request.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {StreamOrigin} from '../stream_origin/stream_origin.js';

/** What a request has been through when it is passed to a peer. */
export interface RelayedProgress {
  /** Attempts made so far, which count against the route's maximum. */
  readonly attempts: number;
  /** Whether an upstream may have started to run it. */
  readonly mayHaveRun: boolean;
  /** Where its stream began, if its caller has an event of it. */
  readonly origin: StreamOrigin | undefined;
  /** Id of the last event that the caller has of the stream. */
  readonly resumeAfterEventId: number | undefined;
}

/** A peer that can pass requests on to upstreams. */
export interface RelayPeer {
  /** Name of the node, for logs. */
  readonly name: string;
  /** Identity of its process. */
  readonly identity: string;
  readonly peerUrl: string;
}

/** The head of an upstream's answer, as a peer passes it back. */
export interface RelayedHead extends UpstreamResponseHead {
  readonly upstreamId: string;
  readonly origin: StreamOrigin;
  /** Attempts that the peer has made. */
  readonly attempts: number;
}

/** Why a peer did not answer a request with an upstream's answer. */
export interface RelayFailure {
  /** How the hop failed, or how the peer's attempts ended. */
  readonly error: AttemptError;
  /** What the peer tells the caller; undefined if the hop failed. */
  readonly refusal: RefusalError | undefined;
}

/** Passes requests on through peers. */
export interface RequestRelay {
  /** Chooses a peer for a request whose upstreams this node cannot reach. */
  choosePeer(progress: RoutedRequestProgress): RelayPeer | undefined;
  /** Sends a request; resolves when the head of the answer has arrived. */
  sendRequest(
    peer: RelayPeer,
    request: RoutedRequest,
    progress: RelayedProgress,
    cancellation: Cancellation,
  ): Promise<Result<RelayedHead, RelayFailure>>;
  /** Records that the peer has no path to the service's upstreams either. */
  recordNoPath(peer: RelayPeer, service: string): void;
}

/** The relay of a node that has no peers. */
export const NO_RELAY: RequestRelay = {
  choosePeer: () => undefined,
  sendRequest: () => {
    throw new Error('there is no peer to send a request to');
  },
  recordNoPath: () => {},
};
