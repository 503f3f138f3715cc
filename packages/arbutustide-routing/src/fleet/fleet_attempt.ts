import type {FleetConnector, UpstreamHead} from './fleet_connector.js';
import type {FleetProgress} from './fleet_progress.js';
import type {Place} from './place_queue.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {
  AttemptOutcome,
  outcomeOfError,
  outcomeOfHead,
} from './attempt_verdict.js';
import {remainingMilliseconds} from './fleet_progress.js';

/** One attempt with what came of it. */
export interface Attempt {
  readonly place: Place;
  readonly outcome: AttemptOutcome;
  /** The answer's head, unless none came. */
  readonly head: UpstreamHead | undefined;
  /** The whole body; undefined for an event stream. */
  readonly body: Buffer | undefined;
  /** Why the answer is missing or broken. */
  readonly error: AttemptError | undefined;
}

/**
 * Sends a request to one upstream and reads its answer: a whole one up to its
 * end, an event stream up to its head.
 */
export async function runAttempt(
  connector: FleetConnector,
  progress: FleetProgress,
  place: Place,
  resumeAfter: number | undefined,
): Promise<Attempt> {
  const {request, cancel} = progress;
  const opened = await connector.open(place.upstream, request, {
    remainingMilliseconds: remainingMilliseconds(progress),
    resumeAfter,
    cancel,
  });
  if (!opened.ok) return failedAttempt(place, undefined, opened.val);
  const head = opened.val;
  if (head.load) place.upstream.learnLoad(head.load);
  const outcome = outcomeOfHead(head);
  const isStreamed = head.isEventStream && outcome === AttemptOutcome.ANSWERED;
  if (isStreamed)
    return {place, outcome, head, body: undefined, error: undefined};
  try {
    const body = await collect(head.body);
    return {place, outcome, head, body, error: undefined};
  } catch (error) {
    return brokenAttempt(place, head, outcome, error);
  }
}

/** An attempt whose answer was cut short after its head. */
function brokenAttempt(
  place: Place,
  head: UpstreamHead,
  outcome: AttemptOutcome,
  cause: unknown,
): Attempt {
  const error =
    cause instanceof AttemptError
      ? cause
      : new AttemptError(AttemptFailure.CLOSED, String(cause));
  if (outcome !== AttemptOutcome.NOT_RUN)
    return failedAttempt(place, head, error);
  return {place, outcome, head, body: undefined, error};
}

function failedAttempt(
  place: Place,
  head: UpstreamHead | undefined,
  error: AttemptError,
): Attempt {
  const outcome = outcomeOfError(error);
  return {place, outcome, head, body: undefined, error};
}

async function collect(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
  const pieces: Uint8Array[] = [];
  for await (const piece of body) pieces.push(piece);
  return pieces.length === 1 ? Buffer.from(pieces[0]) : Buffer.concat(pieces);
}
