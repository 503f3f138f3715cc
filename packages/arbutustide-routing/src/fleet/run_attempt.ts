import type {FleetConnector, UpstreamHead} from './fleet_connector.js';
import type {FleetProgress} from './fleet_progress.js';
import type {Place} from './place_queue.js';
import type {InactivityTimeout} from './inactivity_timeout.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {
  AttemptOutcome,
  classifyAttemptError,
  classifyResponseHead,
} from './attempt_verdict.js';
import {remainingMilliseconds} from './fleet_progress.js';

/** One attempt with what came of it. */
export interface AttemptResult {
  readonly place: Place;
  /** Ends the attempt when its upstream falls silent. */
  readonly watch: InactivityTimeout;
  readonly outcome: AttemptOutcome;
  /** The answer's head, unless none came. */
  readonly head: UpstreamHead | undefined;
  /** The whole body; undefined for an event stream. */
  readonly body: Buffer | undefined;
  /** Why the answer is missing or broken. */
  readonly error: AttemptError | undefined;
}

/** What an attempt is made with. */
export interface AttemptContext {
  readonly place: Place;
  readonly watch: InactivityTimeout;
  /** Goes on after this event; undefined to begin at the first. */
  readonly resumeAfter: number | undefined;
}

/**
 * Sends a request to one upstream and reads its answer: a whole one up to its
 * end, an event stream up to its head.
 */
export async function runAttempt(
  connector: FleetConnector,
  progress: FleetProgress,
  means: AttemptContext,
): Promise<AttemptResult> {
  const {place, watch, resumeAfter} = means;
  const opened = await connector.open(place.upstream, progress.request, {
    remainingMilliseconds: remainingMilliseconds(progress),
    resumeAfter,
    cancel: watch.cancellation,
  });
  if (!opened.ok) return failedAttempt(means, undefined, opened.val);
  watch.recordActivity();
  const head = opened.val;
  if (head.load) place.upstream.recordReportedLoad(head.load);
  const outcome = classifyResponseHead(head);
  const isStreamed = head.isEventStream && outcome === AttemptOutcome.ANSWERED;
  const common = {place, watch, outcome, head};
  if (isStreamed) return {...common, body: undefined, error: undefined};
  try {
    const body = await collectBody(head.body, watch);
    watch.stop();
    return {...common, body, error: undefined};
  } catch (error) {
    return truncatedAttempt(means, head, outcome, error);
  }
}

/** An attempt whose answer was cut short after its head. */
function truncatedAttempt(
  means: AttemptContext,
  head: UpstreamHead,
  outcome: AttemptOutcome,
  cause: unknown,
): AttemptResult {
  const error =
    cause instanceof AttemptError
      ? cause
      : new AttemptError(AttemptFailure.CLOSED, String(cause));
  const failed = failedAttempt(means, head, error);
  return outcome === AttemptOutcome.NOT_RUN ? {...failed, outcome} : failed;
}

function failedAttempt(
  {place, watch}: AttemptContext,
  head: UpstreamHead | undefined,
  cause: AttemptError,
): AttemptResult {
  watch.stop();
  const error = watch.translateError(cause);
  const outcome = classifyAttemptError(error);
  return {place, watch, outcome, head, body: undefined, error};
}

async function collectBody(
  body: AsyncIterable<Uint8Array>,
  watch: InactivityTimeout,
): Promise<Buffer> {
  const pieces: Uint8Array[] = [];
  for await (const piece of body) {
    watch.recordActivity();
    pieces.push(piece);
  }
  return pieces.length === 1 ? Buffer.from(pieces[0]) : Buffer.concat(pieces);
}
