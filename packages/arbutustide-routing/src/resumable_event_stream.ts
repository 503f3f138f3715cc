import type {AnswerBody, AttemptRequest} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {ServerSentEvent} from './server_sent_event_parser.js';
import type {UpstreamClient} from './upstream_client.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {ServerSentEventParser} from './server_sent_event_parser.js';

/** Number of times that one stream is resumed after it breaks. */
const MAXIMUM_RESUMES = 3;
const OK_STATUS = 200;

/**
 * The server-sent events of one attempt. A stream that breaks is resumed after
 * its last event at the same upstream. A stream without its end marker is
 * incomplete, even if the body ends normally.
 */
export class ResumableEventStream {
  private parser = new ServerSentEventParser();
  private readonly bufferedEvents: ServerSentEvent[] = [];
  private lastEventId = '';
  private resumeCount = 0;
  private isDone = false;
  private isCancelled = false;

  constructor(
    private body: AnswerBody,
    private readonly client: UpstreamClient,
    private readonly attempt: AttemptRequest,
  ) {}

  /** Reads the next event; undefined after the end marker. */
  async next(): Promise<Result<ServerSentEvent | undefined, AttemptError>> {
    for (;;) {
      const event = this.bufferedEvents.shift();
      if (event) return Ok(event);
      if (this.isDone) return Ok(undefined);
      const read = await this.readChunk();
      if (!read.ok) return read;
    }
  }

  /** Removes and returns the events that have arrived but are not read. */
  takeBuffered(): Buffer[] {
    return this.bufferedEvents.splice(0).map(({bytes}) => bytes);
  }

  /** Stops reading and cancels the body. */
  cancel(): void {
    this.isCancelled = true;
    this.body.cancel();
  }

  private async readChunk(): Promise<Result<void, AttemptError>> {
    const chunk = await this.body.readChunk();
    if (chunk.ok && chunk.val !== undefined) {
      this.bufferEvents(chunk.val);
      return Ok(undefined);
    }
    return this.resume(chunk.ok ? missingEndMarkerError() : chunk.val);
  }

  private bufferEvents(chunk: Uint8Array): void {
    for (const event of this.parser.push(chunk)) {
      if (this.isDuplicate(event)) continue;
      if (event.id !== undefined) this.lastEventId = event.id;
      if (event.isDone) this.isDone = true;
      this.bufferedEvents.push(event);
    }
  }

  /** An upstream may repeat events after the stream is resumed. */
  private isDuplicate(event: ServerSentEvent): boolean {
    if (event.id === undefined || this.lastEventId === '') return false;
    return Number(event.id) <= Number(this.lastEventId);
  }

  private async resume(
    cause: AttemptError,
  ): Promise<Result<void, AttemptError>> {
    const {resume} = this.client;
    const isStopped = this.isCancelled || this.attempt.signal.aborted;
    if (!resume || isStopped || this.resumeCount >= MAXIMUM_RESUMES)
      return Err(cause);
    this.resumeCount += 1;
    this.body.cancel();
    this.client.renewConnections();
    const answer = await resume(this.attempt, this.lastEventId);
    if (!answer.ok) return Err(cause);
    if (answer.val.status !== OK_STATUS) {
      answer.val.body.cancel();
      return Err(cause);
    }
    this.body = answer.val.body;
    this.parser = new ServerSentEventParser();
    return Ok(undefined);
  }
}

function missingEndMarkerError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the stream ended without its end marker',
  );
}
