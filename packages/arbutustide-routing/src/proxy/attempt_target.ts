import type {RefusalError} from '@arbutustide/errors';
import type {AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {ObservedAttempt} from './crash_attribution/observed_attempt.js';
import type {AttemptResult} from './run_attempt.js';
import type {AttemptOptions, UpstreamResponseHead} from './proxy_connector.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {RequestDecision} from './request_decision.js';
import type {RoutedRequest} from './routed_request.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {StreamOrigin} from './stream_origin/stream_origin.js';

/** Where an attempt is sent: an upstream, or a peer that passes it on. */
export interface AttemptTarget {
  /** Id of the upstream that answers; empty while a peer has not named it. */
  readonly upstreamId: string;
  /** The upstream, if this node sends to it itself. */
  readonly upstream: ProxyUpstream | undefined;
  /** Service and software version of the upstream that answers. */
  readonly origin: StreamOrigin;
  /** What a decision tells of the target. */
  readonly decisionFields: Partial<RequestDecision>;
  /** Time since the target last sent data to this node, in milliseconds. */
  readonly silentMilliseconds: number;
  /** What the caller is told, if the target has refused the request for good. */
  readonly finalRefusal: RefusalError | undefined;
  /**
   * Follows an attempt until it is known whether the upstream survived it;
   * undefined if that is not for this node to find out.
   */
  observe(request: RoutedRequest): ObservedAttempt | undefined;
  /** Excludes the target from later attempts of the request. */
  recordChosen(progress: RoutedRequestProgress): void;
  /** Sends the request; resolves when the head of the answer has arrived. */
  sendRequest(
    progress: RoutedRequestProgress,
    options: AttemptOptions,
  ): Promise<Result<UpstreamResponseHead, AttemptError>>;
  /** Records the head of the answer to a request sent at this time. */
  recordHead(head: UpstreamResponseHead, sentAtMilliseconds: number): void;
  /** Finds out soon whether the target can still be reached. */
  probePath(): void;
  /** Records that the target has sent data. */
  recordActivity(): void;
  /** Records an attempt that is over, or whose stream has begun. */
  recordAttempt(progress: RoutedRequestProgress, attempt: AttemptResult): void;
  /** @param wasInactive whether this node broke the stream off for its silence. */
  recordBrokenStream(
    progress: RoutedRequestProgress,
    wasInactive: boolean,
  ): void;
  /**
   * Registers a callback for when the target turns out to be unreachable.
   *
   * @return removes the callback.
   */
  onLost(listener: () => void): () => void;
}

/** A reserved place for one attempt at a target. */
export interface AttemptSlot {
  readonly target: AttemptTarget;
  /** Time that the request was queued, in milliseconds. */
  readonly waitedMilliseconds: number;
  /**
   * Returns the place; idempotent.
   *
   * @param isWhole whether the target has answered the request from its
   *     beginning to its end.
   */
  release(isWhole?: boolean): void;
}

export type AttemptSlotResult = Result<AttemptSlot, RefusalError>;
