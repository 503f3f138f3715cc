import type {AttemptError} from '@arbutustide/upstream';

import type {UpstreamResponseHead} from './proxy_connector.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';

import {isRepeatable} from './route.js';
import {remainingMilliseconds} from './routed_request_progress.js';

/** Outcome of one attempt to send a request to an upstream. */
export enum AttemptOutcome {
  /** The upstream answered; the answer is forwarded to the caller. */
  ANSWERED = 'answered',
  /** The upstream ran the request and answered with a server error. */
  FAILED = 'failed',
  /** The upstream states that it did not run the request. */
  NOT_RUN = 'not_run',
  /** Nothing was sent: no connection, or no time was left for one. */
  NOT_CONNECTED = 'not_connected',
  /** Sent, but the answer is missing, truncated or not by the upstream. */
  UNKNOWN = 'unknown',
}

/** Lowest HTTP status of a server error. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Classifies an attempt by the status and headers of its answer. */
export function classifyResponseHead(
  head: UpstreamResponseHead,
): AttemptOutcome {
  if (head.isNotRun || head.isOtherInstance) return AttemptOutcome.NOT_RUN;
  if (!head.isSigned) return AttemptOutcome.UNKNOWN;
  return head.status >= FIRST_SERVER_ERROR_STATUS
    ? AttemptOutcome.FAILED
    : AttemptOutcome.ANSWERED;
}

/** Classifies an attempt that got no complete answer. */
export function classifyAttemptError(error: AttemptError): AttemptOutcome {
  return error.mayHaveRun
    ? AttemptOutcome.UNKNOWN
    : AttemptOutcome.NOT_CONNECTED;
}

/** Whether the request ran or may have run in an attempt of this outcome. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
  return (
    outcome !== AttemptOutcome.NOT_RUN &&
    outcome !== AttemptOutcome.NOT_CONNECTED
  );
}

/** Access to the retry budget of the request's service. */
export interface RetryBudgetAccess {
  /** Consumes one retry of the cluster-wide budget; false if none is left. */
  readonly tryConsumeRetry: () => boolean;
}

/**
 * Whether the request may be sent to another upstream; consumes a retry of the
 * budget when one is needed. A request that was never sent consumes none. A
 * request that must not run twice is retried only while it provably has not
 * run.
 */
export function isRetryAllowed(
  progress: RoutedRequestProgress,
  outcome: AttemptOutcome,
  {tryConsumeRetry}: RetryBudgetAccess,
): boolean {
  const {request, cancellation, attempts} = progress;
  if (outcome === AttemptOutcome.ANSWERED) return false;
  if (cancellation.isCancelled) return false;
  // The timer of the deadline fires late if the event loop was blocked.
  if (remainingMilliseconds(progress) <= 0) return false;
  if (progress.mayHaveRun && !isRepeatable(request.route)) return false;
  if (outcome === AttemptOutcome.NOT_CONNECTED) return true;
  if (attempts >= request.route.maximumAttempts) return false;
  return tryConsumeRetry();
}
