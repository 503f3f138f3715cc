import type {AttemptError} from '@arbutustide/upstream';

import type {UpstreamHead} from './fleet_connector.js';
import type {FleetProgress} from './fleet_progress.js';

import {isRepeatable} from './route.js';

/** How an attempt came out. */
export enum AttemptOutcome {
  /** The upstream's own answer, to be passed on. */
  ANSWERED = 'answered',
  /** The upstream's own failure of a request that it ran. */
  FAILED = 'failed',
  /** The upstream says that it did not run the request. */
  NOT_RUN = 'not_run',
  /** No connection was established. */
  NOT_CONNECTED = 'not_connected',
  /** Sent, and the answer is missing, broken or another's. */
  UNKNOWN = 'unknown',
}

/** First status of those by which a server reports its own failure. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** The outcome an answer's head stands for. */
export function classifyResponseHead(head: UpstreamHead): AttemptOutcome {
  if (head.isNotRun || head.isOtherInstance) return AttemptOutcome.NOT_RUN;
  if (!head.isSigned) return AttemptOutcome.UNKNOWN;
  return head.status >= FIRST_SERVER_ERROR_STATUS
    ? AttemptOutcome.FAILED
    : AttemptOutcome.ANSWERED;
}

/** The outcome an attempt without an answer stands for. */
export function classifyAttemptError(error: AttemptError): AttemptOutcome {
  return error.mayHaveRun
    ? AttemptOutcome.UNKNOWN
    : AttemptOutcome.NOT_CONNECTED;
}

/** Whether an outcome leaves open or says that the request ran. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
  return (
    outcome !== AttemptOutcome.NOT_RUN &&
    outcome !== AttemptOutcome.NOT_CONNECTED
  );
}

/** What a retry needs besides the request's own terms. */
export interface RetryBudgetAccess {
  /** Takes one retry from the fleet's budget, if there is one. */
  readonly tryTakeRetry: () => boolean;
}

/**
 * Whether the request may be sent once more. One that was never sent draws on
 * no budget, and what may run once is sent again only while it provably has
 * not run.
 */
export function isRetryAllowed(
  progress: FleetProgress,
  outcome: AttemptOutcome,
  {tryTakeRetry}: RetryBudgetAccess,
): boolean {
  const {request, cancellation: cancel, attempts} = progress;
  if (outcome === AttemptOutcome.ANSWERED) return false;
  if (cancel.isCancelled) return false;
  if (progress.mayHaveRun && !isRepeatable(request.route)) return false;
  if (outcome === AttemptOutcome.NOT_CONNECTED) return true;
  if (attempts >= request.route.maximumAttempts) return false;
  return tryTakeRetry();
}
