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
import type {UpstreamClient} from './upstream_client.js';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';
import {
  AttemptError,
  AttemptFailure,
  AttemptState,
  SendCheck,
} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {collectBody} from './body_collector.js';
import {ResumableEventStream} from './resumable_event_stream.js';
import {createUpstreamClient} from './upstream_client.js';

/**
 * Answers up to this size are read completely before the attempt is open, so
 * that another replica can be tried; larger ones are relayed as they arrive.
 */
const BUFFERED_ANSWER_LIMIT_BYTES = 1_048_576;
/** Consecutive probes without the attempt after which it is aborted. */
const MISSED_PROBES_TO_ABORT = 2;
const EVENT_STREAM_TYPE = 'text/event-stream';
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** The part of an answer that is received before the attempt is open. */
export interface AnswerBeginning {
  readonly status: number;
  readonly contentType: string;
  /** A complete answer, or the first chunks of a longer one. */
  readonly chunks: readonly Uint8Array[];
  /** The body after `chunks`; undefined if they are the complete answer. */
  readonly remainder: AnswerBody | undefined;
  /** Further server-sent events; undefined for other content types. */
  readonly events: ResumableEventStream | undefined;
}

/** An attempt whose answer has begun or is complete. */
export interface OpenAttempt extends AnswerBeginning {
  readonly replica: Replica;
  /** Stops counting the attempt as in flight; idempotent. */
  readonly release: () => void;
  /** Whether the upstream has crashed or restarted since the attempt began. */
  readonly didCrash: () => Promise<boolean>;
}

/** An attempt without an answer. */
export interface FailedAttempt {
  readonly replica: Replica;
  readonly error: AttemptError;
  /** Whether the upstream crashed while the request was in flight. */
  readonly isCrash: boolean;
  /** Whether the upstream reported that it did not run the request. */
  readonly isRejected: boolean;
}

export type AttemptOutcome = Result<OpenAttempt, FailedAttempt>;

/** Shared with `monitorAttempt`, which stops when the attempt is finished. */
interface AttemptMonitor {
  isFinished: boolean;
}

/** Sends a request to one replica and determines why an attempt failed. */
export class AttemptRunner {
  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly connector: UpstreamConnector,
  ) {}

  /**
   * Sends a request to a replica and waits for the first event of a stream, or
   * for the complete answer up to a size limit. Nothing has been sent to the
   * caller by then, so a failed attempt can be retried at another replica.
   *
   * @param cancellation aborts the attempt when it is cancelled.
   */
  async open(
    replica: Replica,
    request: CallerRequest,
    cancellation: Cancellation,
  ): Promise<AttemptOutcome> {
    const {upstream} = replica;
    const client = createUpstreamClient(upstream, this.connector);
    const instanceIdBefore = upstream.observation?.instanceId;
    const abortController = new AbortController();
    const unsubscribe = cancellation.onCancel(reason =>
      abortController.abort(reason),
    );
    const attempt = newAttempt(replica, request, abortController.signal);
    const releaseInFlight = addInFlight(replica);
    const release = () => {
      unsubscribe();
      releaseInFlight();
    };
    const opened = await this.receiveBeginning(
      replica,
      client,
      attempt,
      request,
      abortController,
    );
    if (opened.ok && !client.notRunStatuses.has(opened.val.status)) {
      return Ok({
        replica,
        ...opened.val,
        release,
        didCrash: () => didCrash(client, instanceIdBefore),
      });
    }
    release();
    if (opened.ok) return Err(this.rejectedAttempt(replica, opened.val));
    return Err(
      await this.diagnoseFailure(replica, client, opened.val, instanceIdBefore),
    );
  }

  private async receiveBeginning(
    {upstream}: Replica,
    client: UpstreamClient,
    attempt: AttemptRequest,
    request: CallerRequest,
    abortController: AbortController,
  ): Promise<Result<AnswerBeginning, AttemptError>> {
    const monitor = {isFinished: false};
    const timer = request.isStream
      ? undefined
      : setTimeout(
          () =>
            void this.monitorAttempt(
              client,
              attempt,
              request,
              abortController,
              monitor,
            ),
          request.requestClass.progressMilliseconds,
        );
    try {
      const answer = await this.openAnswer(client, attempt, request);
      if (!answer.ok) return answer;
      if (answer.val.isLeaving) this.directory.markLeaving(upstream.id);
      return await receiveAnswer(answer.val, client, attempt);
    } finally {
      clearTimeout(timer);
      monitor.isFinished = true;
    }
  }

  /** Opens the answer; a stream that timed out is resumed from its start. */
  private async openAnswer(
    client: UpstreamClient,
    attempt: AttemptRequest,
    request: CallerRequest,
  ): Promise<Result<UpstreamAnswer, AttemptError>> {
    const answer = await client.attempt(attempt);
    if (answer.ok) return answer;
    if (answer.val.failure !== AttemptFailure.INACTIVITY_TIMEOUT) return answer;
    client.renewConnections();
    if (!request.isStream || !client.resume) return answer;
    const resumed = await client.resume(attempt, '');
    return resumed.ok && resumed.val.status === OK_STATUS ? resumed : answer;
  }

  /**
   * Polls the upstream over new connections and aborts the attempt if the
   * upstream no longer runs it. An open connection can stop delivering data
   * without an error, and an answer that is not streamed shows no progress.
   */
  private async monitorAttempt(
    client: UpstreamClient,
    attempt: AttemptRequest,
    request: CallerRequest,
    abortController: AbortController,
    monitor: AttemptMonitor,
  ): Promise<void> {
    let missedProbes = 0;
    const {progressMilliseconds} = request.requestClass;
    while (!monitor.isFinished) {
      const state = await client.attemptState(attempt.attemptId);
      const isRunning = state.ok && state.val === AttemptState.RUNNING;
      missedProbes = isRunning ? 0 : missedProbes + 1;
      if (!monitor.isFinished && missedProbes >= MISSED_PROBES_TO_ABORT) {
        client.renewConnections();
        abortController.abort(lostAttemptError());
        return;
      }
      await delay(progressMilliseconds);
    }
  }

  private rejectedAttempt(
    replica: Replica,
    answer: AnswerBeginning,
  ): FailedAttempt {
    const {upstream, item} = replica;
    answer.remainder?.cancel();
    if (answer.status === NOT_FOUND_STATUS && item !== undefined) {
      this.directory.markNotResident(upstream.id, item);
    }
    const message = `${upstream.id} rejected a request: status ${answer.status}`;
    return {
      replica,
      error: new AttemptError(AttemptFailure.PROTOCOL_VIOLATION, message),
      isCrash: false,
      isRejected: true,
    };
  }

  /** Checks over a new connection whether the upstream has crashed. */
  private async diagnoseFailure(
    replica: Replica,
    client: UpstreamClient,
    error: AttemptError,
    instanceIdBefore: string | undefined,
  ): Promise<FailedAttempt> {
    const {id} = replica.upstream;
    const failedAttempt = {replica, error, isCrash: false, isRejected: false};
    if (error.failure === AttemptFailure.NOT_CONNECTED) {
      this.directory.markUnreachable(id);
      return failedAttempt;
    }
    if (error.failure !== AttemptFailure.CONNECTION_LOST) return failedAttempt;
    const isCrash = await didCrash(client, instanceIdBefore);
    if (isCrash) this.directory.markUnreachable(id);
    return {...failedAttempt, isCrash};
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
    inactivityTimeoutMilliseconds: request.isStream
      ? progressMilliseconds
      : Math.max(1, request.deadlineAtMilliseconds - performance.now()),
    signal,
    sendCheck: new SendCheck({
      ...request,
      isCancelled: () => signal.aborted || request.disconnection.isCancelled,
    }),
  };
}

/** Counts a request as in flight until the returned function is called. */
function addInFlight({upstream}: Replica): () => void {
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
  client: UpstreamClient,
  attempt: AttemptRequest,
): Promise<Result<AnswerBeginning, AttemptError>> {
  const {status, contentType, body} = answer;
  if (contentType.startsWith(EVENT_STREAM_TYPE)) {
    const events = new ResumableEventStream(body, client, attempt);
    const firstEvent = await events.next();
    if (!firstEvent.ok) return firstEvent;
    const chunks = firstEvent.val ? [firstEvent.val.bytes] : [];
    return Ok({status, contentType, chunks, remainder: undefined, events});
  }
  const collected = await collectBody(body, BUFFERED_ANSWER_LIMIT_BYTES);
  if (!collected.ok) return collected;
  const {chunks, isComplete} = collected.val;
  const remainder = isComplete ? undefined : body;
  return Ok({status, contentType, chunks, remainder, events: undefined});
}

/**
 * Whether the upstream has a new instance id or accepts no connection. Its
 * other failures are not taken for a crash.
 */
async function didCrash(
  client: UpstreamClient,
  instanceIdBefore: string | undefined,
): Promise<boolean> {
  const instanceId = await client.readInstanceId();
  if (instanceId.ok)
    return (
      instanceIdBefore !== undefined && instanceId.val !== instanceIdBefore
    );
  return instanceId.val.failure === AttemptFailure.NOT_CONNECTED;
}

function lostAttemptError(): AttemptError {
  return new AttemptError(
    AttemptFailure.INACTIVITY_TIMEOUT,
    'the upstream no longer runs the attempt and sent no answer',
  );
}
