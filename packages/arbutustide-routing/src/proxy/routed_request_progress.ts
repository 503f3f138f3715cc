import type {Cancellation} from '@arbutustide/errors';

import type {AnswerPeriod} from './answer_period.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {GateAdmission} from './request_gate.js';
import type {RoutedRequest} from './routed_request.js';
import type {StreamOrigin} from './stream_origin/stream_origin.js';

import {ExecutionStatus} from '@arbutustide/errors';

import {RequestKind} from './route.js';

type RequestHolder = Pick<RoutedRequestProgress, 'request'>;

/** State of one request while it is handled. */
export interface RoutedRequestProgress {
  readonly request: RoutedRequest;
  /** Equal for requests with the same effect at an upstream. */
  readonly fingerprint: string;
  /** Cancelled when the caller disconnects or the deadline passes. */
  readonly cancellation: Cancellation;
  /** Upstreams to which an attempt was made; excluded from later ones. */
  readonly triedUpstreams: Set<ProxyUpstream>;
  /** Identities of the peers that were asked to pass the request on. */
  readonly triedPeers: Set<string>;
  /**
   * Whether a peer has passed the request to this node, which must not pass it
   * on again.
   */
  readonly isRelayed: boolean;
  /** Whether its caller has events of the stream from before. */
  readonly isContinuation?: boolean;
  /** Attempts sent, including those that the upstream did not run. */
  attempts: number;
  /** Whether an upstream may have started to run the request. */
  mayHaveRun: boolean;
  /** What it has taken of its team's quota; undefined until it is admitted. */
  admission?: GateAdmission;
  /** Whether its caller gets the events of a stream. */
  hasStreamBegun: boolean;
  /** Whether an upstream has certainly answered it whole. */
  isAnsweredWhole: boolean;
  /**
   * Where the stream began, once its caller has an event of it; later attempts
   * need the same software version.
   */
  origin: StreamOrigin | undefined;
  /** Time of the last event sent to the caller; initially of its arrival. */
  lastDeliveryAtMilliseconds: number;
}

/** Whether the request ran, as reported in a refusal. */
export function ranSoFar({mayHaveRun}: RoutedRequestProgress): ExecutionStatus {
  return mayHaveRun
    ? ExecutionStatus.POSSIBLY_EXECUTED
    : ExecutionStatus.NOT_EXECUTED;
}

/**
 * Whether the route allows the request to reach one more upstream. It may run
 * several times at one of them, but each attempt of a peer may be at another.
 */
export function mayReachFurtherUpstream({
  request: {route},
  attempts,
  triedUpstreams,
  triedPeers,
  isRelayed,
}: Pick<
  RoutedRequestProgress,
  'request' | 'attempts' | 'triedUpstreams' | 'triedPeers' | 'isRelayed'
>): boolean {
  const isAtPeers = isRelayed || triedPeers.size > 0;
  const upstreamCount = isAtPeers
    ? attempts
    : Math.min(attempts, triedUpstreams.size);
  return upstreamCount < route.maximumAttempts;
}

/**
 * Share of the caller's timeout that a request may spend in the queue. The rest
 * is for the answer, and lets a refusal arrive before the caller gives up.
 */
const QUEUE_TIME_SHARE = 0.8;

/** Time left in which the request must get a slot, in milliseconds. */
export function remainingQueueMilliseconds({
  request,
  lastDeliveryAtMilliseconds,
}: RoutedRequestProgress): number {
  const {deadlineAtMilliseconds, route} = request;
  const timeLimit = Math.min(
    deadlineAtMilliseconds - lastDeliveryAtMilliseconds,
    route.callerTimeoutMilliseconds,
  );
  const queueDeadline =
    lastDeliveryAtMilliseconds + QUEUE_TIME_SHARE * timeLimit;
  return queueDeadline - performance.now();
}

/**
 * Time left until the earliest time at which the request's deadline can be, in
 * milliseconds.
 */
export function remainingMilliseconds({request}: RequestHolder): number {
  return request.deadlineAtMilliseconds - performance.now();
}

/**
 * Time left until the latest time at which the request's deadline can be, in
 * milliseconds: it can have arrived just before it was read. A stream that has
 * begun goes on until then, as its caller is there and leaves if its time is up.
 */
export function remainingStreamMilliseconds(holder: RequestHolder): number {
  return remainingMilliseconds(holder) + holder.request.unreadMilliseconds;
}

/**
 * Time for which an upstream may work on the request, in milliseconds. Ends with
 * the period in which this node can pass the answer on.
 */
export function remainingForUpstream(
  holder: RequestHolder,
  {endsAtMilliseconds}: AnswerPeriod,
): number {
  const remaining =
    holder.request.route.kind === RequestKind.STREAM
      ? remainingStreamMilliseconds(holder)
      : remainingMilliseconds(holder);
  return Math.min(remaining, endsAtMilliseconds - performance.now());
}
