import type {ObservedAttempt} from './crash_attribution/observed_attempt.js';
import type {AnswerMemory, AnswerRoom} from './answer_memory.js';
import type {AttemptSlot} from './attempt_target.js';
import type {AttemptStart, UpstreamResponseHead} from './proxy_connector.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {InactivityTimeout} from './inactivity_timeout.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {
  AttemptOutcome,
  classifyAttemptError,
  classifyResponseHead,
} from './attempt_outcome.js';

const OK_STATUS = 200;

/**
 * Size up to which an answer that is no event stream is buffered. A larger one
 * counts as an answer without end.
 */
const MAXIMUM_BUFFERED_ANSWER_BYTES = 4 * 1_024 * 1_024;

/** An attempt that has its complete answer, an open stream or an error. */
export interface AttemptResult {
  readonly slot: AttemptSlot;
  /** Monotonic clock, in milliseconds. */
  readonly beganAtMilliseconds: number;
  /** When the upstream was to end its work, by the monotonic clock. */
  readonly dueAtMilliseconds: number;
  /** Whether that is before the deadline, as this node stops. */
  readonly isCurtailed: boolean;
  /** Aborts the attempt when its upstream is inactive. */
  readonly inactivityTimeout: InactivityTimeout;
  /** Undefined if the request shares no prompt segments. */
  readonly observed: ObservedAttempt | undefined;
  readonly outcome: AttemptOutcome;
  /** Undefined if no answer arrived. */
  readonly head: UpstreamResponseHead | undefined;
  /** The complete body; undefined for an event stream or an error. */
  readonly body: Buffer | undefined;
  /** Why the answer is missing or truncated. */
  readonly error: AttemptError | undefined;
}

/** Slot, timeout and start of one attempt. */
export interface AttemptContext {
  readonly slot: AttemptSlot;
  readonly inactivityTimeout: InactivityTimeout;
  readonly observed: ObservedAttempt | undefined;
  readonly start: AttemptStart;
  /** Monotonic clock, in milliseconds. */
  readonly beganAtMilliseconds: number;
  readonly answerMemory: AnswerMemory;
  /** When the upstream is to end its work, by the monotonic clock. */
  readonly dueAtMilliseconds: number;
  /** Whether that is before the deadline, as this node stops. */
  readonly isCurtailed: boolean;
}

/**
 * Sends a request to one target. Resolves when the answer is complete; for an
 * event stream, when its head has arrived.
 */
export async function runAttempt(
  progress: RoutedRequestProgress,
  context: AttemptContext,
): Promise<AttemptResult> {
  const {slot, start, inactivityTimeout, observed} = context;
  const {beganAtMilliseconds, answerMemory} = context;
  const {dueAtMilliseconds, isCurtailed} = context;
  const opened = await slot.target.sendRequest(progress, {
    ...start,
    remainingMilliseconds: dueAtMilliseconds - performance.now(),
    cancellation: inactivityTimeout.cancellation,
  });
  if (!opened.ok) return failedAttempt(context, undefined, opened.val);
  inactivityTimeout.recordActivity();
  observed?.recordHead();
  const head = opened.val;
  slot.target.recordHead(head, beganAtMilliseconds);
  const outcome = classifyResponseHead(head);
  // Events with another status are the text of an error, not part of a stream.
  const isStreamed =
    head.isEventStream &&
    head.status === OK_STATUS &&
    outcome === AttemptOutcome.ANSWERED;
  const common = {
    slot,
    beganAtMilliseconds,
    dueAtMilliseconds,
    isCurtailed,
    inactivityTimeout,
    observed,
    outcome,
    head,
  };
  if (isStreamed) return {...common, body: undefined, error: undefined};
  try {
    const body = await collectBody(
      head.body,
      inactivityTimeout,
      answerMemory.open(),
    );
    inactivityTimeout.stop();
    return {...common, body, error: undefined};
  } catch (error) {
    return truncatedAttempt(context, head, outcome, error);
  }
}

/** Result of an attempt whose body was truncated. */
function truncatedAttempt(
  context: AttemptContext,
  head: UpstreamResponseHead,
  outcome: AttemptOutcome,
  cause: unknown,
): AttemptResult {
  const error =
    cause instanceof AttemptError
      ? cause
      : new AttemptError(AttemptFailure.CONNECTION_LOST, String(cause));
  const failed = failedAttempt(context, head, error);
  return outcome === AttemptOutcome.NOT_RUN ? {...failed, outcome} : failed;
}

function failedAttempt(
  context: AttemptContext,
  head: UpstreamResponseHead | undefined,
  cause: AttemptError,
): AttemptResult {
  const {slot, inactivityTimeout, observed} = context;
  const {beganAtMilliseconds, dueAtMilliseconds, isCurtailed} = context;
  inactivityTimeout.stop();
  const error = inactivityTimeout.translateError(cause);
  const outcome = classifyAttemptError(error);
  return {
    slot,
    beganAtMilliseconds,
    dueAtMilliseconds,
    isCurtailed,
    inactivityTimeout,
    observed,
    outcome,
    head,
    body: undefined,
    error,
  };
}

async function collectBody(
  body: AsyncIterable<Uint8Array>,
  inactivityTimeout: InactivityTimeout,
  room: AnswerRoom,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of body) {
      inactivityTimeout.recordActivity();
      size += chunk.length;
      if (size > MAXIMUM_BUFFERED_ANSWER_BYTES)
        throw createTooLargeError(
          `more than ${MAXIMUM_BUFFERED_ANSWER_BYTES} bytes`,
        );
      if (!room.tryAdd(chunk.length))
        throw createTooLargeError(
          'more bytes than there is room for beside others',
        );
      chunks.push(chunk);
    }
    return chunks.length === 1 ? Buffer.from(chunks[0]) : Buffer.concat(chunks);
  } finally {
    room.release();
  }
}

function createTooLargeError(size: string): AttemptError {
  return new AttemptError(
    AttemptFailure.PROTOCOL_VIOLATION,
    `the answer has ${size}`,
  );
}
