import type {Cancellation} from '@arbutustide/errors';
import type {AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {ProxyUpstream, UpstreamLoad} from './proxy_upstream.js';
import type {RoutedRequest} from './routed_request.js';

/** What an upstream says of itself in the head of any of its answers. */
export interface UpstreamSignals {
  /** Whether it is about to leave. */
  readonly isLeaving: boolean;
  /**
   * Time for which it wants nothing from this node, in milliseconds; undefined
   * if it did not ask for a pause.
   */
  readonly backOffMilliseconds: number | undefined;
  /**
   * Requests per second that it takes from all nodes together; undefined if it
   * names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /**
   * Rejections a second, over all nodes, that it survives; undefined if it does
   * not say that it is brittle.
   */
  readonly survivedRejectionsPerSecond: number | undefined;
}

/**
 * Called with what an answer of an upstream says of it.
 *
 * @param unlimitedSinceMilliseconds when the request was sent, if an answer
 *     without a rate limit means that there is none.
 */
export type UpstreamSignalsHandler = (
  upstream: ProxyUpstream,
  signals: UpstreamSignals,
  unlimitedSinceMilliseconds?: number,
) => void;

/** Status, headers and unread body of an upstream's answer. */
export interface UpstreamResponseHead extends UpstreamSignals {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another process now listens at the upstream's address. */
  readonly isOtherInstance: boolean;
  /** Whether the answer has the signature header of an upstream. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /**
   * Whether the answer states where it ends, by a length or chunks. Otherwise
   * it ends with its connection, and a part of it may look whole.
   */
  readonly isSelfDelimiting: boolean;
  /** Load that the upstream reports with the answer, if any. */
  readonly load: UpstreamLoad | undefined;
  /** Body chunks; iteration throws `AttemptError` if the body is truncated. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Where an attempt takes a request up, and how urgent it is. */
export interface AttemptStart {
  /** Id of the event after which a stream resumes; undefined to start it. */
  readonly resumeAfterEventId: number | undefined;
  /** Whether the upstream is to serve it before requests of all priorities. */
  readonly isUrgent?: boolean;
  /** Copy of memory that the run goes on from; undefined to run it anew. */
  readonly memoryLocation?: string;
}

/** Options that differ between the attempts of one request. */
export interface AttemptOptions extends AttemptStart {
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Aborts the attempt, also while its body is read. */
  readonly cancellation: Cancellation;
}

/** How a probe finds out whether an upstream can be reached. */
export enum ProbeKind {
  /** By a report, which an engine gives at any load. */
  REPORT = 'report',
  /** By a new connection. */
  CONNECTION = 'connection',
}

/** Sends requests to upstreams over HTTP. */
export interface ProxyConnector {
  /** Sends a request; resolves when the head of the answer has arrived. */
  sendRequest(
    upstream: ProxyUpstream,
    request: RoutedRequest,
    terms: AttemptOptions,
  ): Promise<Result<UpstreamResponseHead, AttemptError>>;
  /** Whether the upstream can be reached on a new connection. */
  probe(upstream: ProxyUpstream, kind: ProbeKind): Promise<boolean>;
  /** Closes the connections to a removed upstream as they become idle. */
  drainConnections(upstreamId: string): void;
}
