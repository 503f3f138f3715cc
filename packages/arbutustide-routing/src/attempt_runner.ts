import type {Cancellation} from '@arbutustide/errors';
import type {
  AnswerBody,
  AttemptRequest,
  UpstreamAnswer,
} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {CallerRequest} from './caller_request.js';
import type {UpstreamConnector} from './upstream_connector.js';
import type {Replica, UpstreamDirectory} from './upstream_directory.js';
import type {UpstreamTarget} from './upstream_target.js';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';
import {
  AttemptError,
  AttemptFailure,
  AttemptState,
} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {collectBody} from './body_collector.js';
import {EventStream} from './event_stream.js';
import {upstreamTarget} from './upstream_target.js';

/** A whole answer beyond this size is relayed while it arrives. */
const WHOLE_ANSWER_LIMIT_BYTES = 1_048_576;
/** Looks in a row that must miss an attempt before it is given up. */
const MISSES_TO_GIVE_UP = 2;
const EVENT_STREAM_TYPE = 'text/event-stream';
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** The part of an answer that came before the attempt counts as open. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly contentType: string;
  /** A whole answer, or the first pieces of a longer one. */
  readonly pieces: readonly Uint8Array[];
  /** Set when a long answer has more than the pieces. */
  readonly rest: AnswerBody | undefined;
  /** Set for an answer of server-sent events, to read those to come. */
  readonly events: EventStream | undefined;
}

/** An attempt whose answer has begun, or has arrived whole. */
export interface OpenAttempt extends ReceivedAnswer {
  readonly replica: Replica;
  /** Ends the attempt's accounting; repeated calls do nothing. */
  readonly finish: () => void;
  /** Whether the upstream went down since the attempt began. */
  readonly didCrash: () => Promise<boolean>;
}

/** An attempt that gave no answer. */
export interface FailedAttempt {
  readonly replica: Replica;
  readonly error: AttemptError;
  /** Whether the upstream went down while the request was there. */
  readonly isCrash: boolean;
  /** Whether the upstream answered that it did not run the request. */
  readonly isRefused: boolean;
}

export type AttemptOutcome = Result<OpenAttempt, FailedAttempt>;

/** Tells a watch that its attempt has ended. */
interface AttemptWatch {
  isOver: boolean;
}

/** Runs single attempts and finds out why they fail. */
export class AttemptRunner {
  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
  ) {}

  /**
   * Sends a request to a replica and waits for the first event of a stream or
   * for a whole answer, so that until then another replica can be tried.
   *
   * @param cancel cancelled when the request is to be given up.
   */
  async open(
    replica: Replica,
    request: CallerRequest,
    cancel: Cancellation,
  ): Promise<AttemptOutcome> {
    const {upstream} = replica;
    const target = upstreamTarget(upstream, this.connector);
    const startBefore = upstream.observation?.start;
    const giveUp = new AbortController();
    const forget = cancel.onCancel(reason => giveUp.abort(reason));
    const attempt = newAttempt(replica, request, giveUp.signal);
    const uncount = countInFlight(replica);
    const finish = () => {
      forget();
      uncount();
    };
    const opened = await this.receive(
      replica,
      target,
      attempt,
      request,
      giveUp,
    );
    if (opened.ok && !target.notRunStatuses.has(opened.val.status)) {
      return Ok({
        replica,
        ...opened.val,
        finish,
        didCrash: () => didCrash(target, startBefore),
      });
    }
    finish();
    if (opened.ok) return Err(this.refused(replica, opened.val));
    return Err(await this.judge(replica, target, opened.val, startBefore));
  }

  private async receive(
    {upstream}: Replica,
    target: UpstreamTarget,
    attempt: AttemptRequest,
    request: CallerRequest,
    giveUp: AbortController,
  ): Promise<Result<ReceivedAnswer, AttemptError>> {
    const watch = {isOver: false};
    const timer = request.isStream
      ? undefined
      : setTimeout(
          () => void this.watch(target, attempt, request, giveUp, watch),
          request.requestClass.progressMilliseconds,
        );
    try {
      const answer = await this.openAnswer(target, attempt, request);
      if (!answer.ok) return answer;
      if (answer.val.isLeaving) this.directory.markLeaving(upstream.id);
      return await receiveAnswer(answer.val, target, attempt);
    } finally {
      clearTimeout(timer);
      watch.isOver = true;
    }
  }

  /** Opens the answer; a stream that went silent is asked for anew. */
  private async openAnswer(
    target: UpstreamTarget,
    attempt: AttemptRequest,
    request: CallerRequest,
  ): Promise<Result<UpstreamAnswer, AttemptError>> {
    const answer = await target.attempt(attempt);
    if (answer.ok) return answer;
    if (answer.val.failure !== AttemptFailure.SILENT) return answer;
    target.renewConnections();
    if (!request.isStream || !target.resume) return answer;
    const resumed = await target.resume(attempt, '');
    return resumed.ok && resumed.val.status === OK_STATUS ? resumed : answer;
  }

  /**
   * Looks over new connections whether the upstream still has the attempt. An
   * open connection can go silent for good, and a whole answer shows no
   * progress by itself.
   */
  private async watch(
    target: UpstreamTarget,
    attempt: AttemptRequest,
    request: CallerRequest,
    giveUp: AbortController,
    watch: AttemptWatch,
  ): Promise<void> {
    let misses = 0;
    const {progressMilliseconds} = request.requestClass;
    while (!watch.isOver) {
      const state = await target.attemptState(attempt.attemptId);
      const isThere = state.ok && state.val === AttemptState.RUNNING;
      misses = isThere ? 0 : misses + 1;
      if (!watch.isOver && misses >= MISSES_TO_GIVE_UP) {
        target.renewConnections();
        giveUp.abort(lostAnswer());
        return;
      }
      await delay(progressMilliseconds);
    }
  }

  private refused(replica: Replica, answer: ReceivedAnswer): FailedAttempt {
    const {upstream, item} = replica;
    answer.rest?.cancel();
    if (answer.status === NOT_FOUND_STATUS && item !== undefined) {
      this.directory.markNotResident(upstream.id, item);
    }
    const message = `${upstream.id} refused with status ${answer.status}`;
    return {
      replica,
      error: new AttemptError(AttemptFailure.PROTOCOL, message),
      isCrash: false,
      isRefused: true,
    };
  }

  /** Finds out over a new connection whether the upstream went down. */
  private async judge(
    replica: Replica,
    target: UpstreamTarget,
    error: AttemptError,
    startBefore: string | undefined,
  ): Promise<FailedAttempt> {
    const {id} = replica.upstream;
    const failed = {replica, error, isCrash: false, isRefused: false};
    if (error.failure === AttemptFailure.NOT_CONNECTED) {
      this.directory.markUnreachable(id);
      return failed;
    }
    if (error.failure !== AttemptFailure.CLOSED) return failed;
    const isCrash = await didCrash(target, startBefore);
    if (isCrash) this.directory.markUnreachable(id);
    return {...failed, isCrash};
  }
}

function newAttempt(
  replica: Replica,
  request: CallerRequest,
  signal: AbortSignal,
): AttemptRequest {
  const {item} = replica;
  const {progressMilliseconds, priority} = request.requestClass;
  return {
    attemptId: randomUUID(),
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    contentType: request.contentType,
    body: item === undefined ? request.body : request.bodyForItem(item),
    priority,
    progressMilliseconds: request.isStream
      ? progressMilliseconds
      : Math.max(1, request.deadlineAtMilliseconds - performance.now()),
    signal,
  };
}

/** Counts a request at an upstream until the returned function is called. */
function countInFlight({upstream}: Replica): () => void {
  upstream.ownInFlight += 1;
  let isCounted = true;
  return () => {
    if (!isCounted) return;
    isCounted = false;
    upstream.ownInFlight -= 1;
  };
}

async function receiveAnswer(
  answer: UpstreamAnswer,
  target: UpstreamTarget,
  attempt: AttemptRequest,
): Promise<Result<ReceivedAnswer, AttemptError>> {
  const {status, contentType, body} = answer;
  if (contentType.startsWith(EVENT_STREAM_TYPE)) {
    const events = new EventStream(body, target, attempt);
    const first = await events.next();
    if (!first.ok) return first;
    const pieces = first.val ? [first.val.bytes] : [];
    return Ok({status, contentType, pieces, rest: undefined, events});
  }
  const collected = await collectBody(body, WHOLE_ANSWER_LIMIT_BYTES);
  if (!collected.ok) return collected;
  const {pieces, isWhole} = collected.val;
  const rest = isWhole ? undefined : body;
  return Ok({status, contentType, pieces, rest, events: undefined});
}

async function didCrash(
  target: UpstreamTarget,
  startBefore: string | undefined,
): Promise<boolean> {
  const start = await target.readStart();
  if (start.ok) return startBefore !== undefined && start.val !== startBefore;
  return start.val.failure === AttemptFailure.NOT_CONNECTED;
}

function lostAnswer(): AttemptError {
  return new AttemptError(
    AttemptFailure.SILENT,
    'the upstream no longer has the attempt, and no answer came',
  );
}
