import type {AnswerBody, AttemptRequest} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {StreamEvent} from './event_splitter.js';
import type {UpstreamTarget} from './upstream_target.js';

import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {EventSplitter} from './event_splitter.js';

/** Times one stream is continued after a break. */
const MAXIMUM_RESUMES = 3;
const OK_STATUS = 200;

/**
 * The events of one attempt. A stream that breaks is continued from its last
 * event at the same upstream; a stream is whole only with its end marker.
 */
export class EventStream {
  private splitter = new EventSplitter();
  private readonly ready: StreamEvent[] = [];
  private lastEventId = '';
  private resumes = 0;
  private isDone = false;
  private isCancelled = false;

  constructor(
    private body: AnswerBody,
    private readonly target: UpstreamTarget,
    private readonly attempt: AttemptRequest,
  ) {}

  /** The next event; undefined after the end marker. */
  async next(): Promise<Result<StreamEvent | undefined, AttemptError>> {
    for (;;) {
      const event = this.ready.shift();
      if (event) return Ok(event);
      if (this.isDone) return Ok(undefined);
      const filled = await this.fill();
      if (!filled.ok) return filled;
    }
  }

  /** The events that have arrived and were not read yet. */
  takeReady(): Buffer[] {
    return this.ready.splice(0).map(({bytes}) => bytes);
  }

  /** Gives the rest of the stream up. */
  cancel(): void {
    this.isCancelled = true;
    this.body.cancel();
  }

  private async fill(): Promise<Result<void, AttemptError>> {
    const piece = await this.body.read();
    if (piece.ok && piece.val !== undefined) {
      this.take(piece.val);
      return Ok(undefined);
    }
    return this.resume(piece.ok ? endedEarly() : piece.val);
  }

  private take(piece: Uint8Array): void {
    for (const event of this.splitter.push(piece)) {
      if (this.isRepeated(event)) continue;
      if (event.id !== undefined) this.lastEventId = event.id;
      if (event.isDone) this.isDone = true;
      this.ready.push(event);
    }
  }

  /** After a resume the upstream may send an event once more. */
  private isRepeated(event: StreamEvent): boolean {
    if (event.id === undefined || this.lastEventId === '') return false;
    return Number(event.id) <= Number(this.lastEventId);
  }

  private async resume(
    cause: AttemptError,
  ): Promise<Result<void, AttemptError>> {
    const {resume} = this.target;
    const isOver = this.isCancelled || this.attempt.signal.aborted;
    if (!resume || isOver || this.resumes >= MAXIMUM_RESUMES) return Err(cause);
    this.resumes += 1;
    this.body.cancel();
    this.target.renewConnections();
    const answer = await resume(this.attempt, this.lastEventId);
    if (!answer.ok) return Err(cause);
    if (answer.val.status !== OK_STATUS) {
      answer.val.body.cancel();
      return Err(cause);
    }
    this.body = answer.val.body;
    this.splitter = new EventSplitter();
    return Ok(undefined);
  }
}

function endedEarly(): AttemptError {
  return new AttemptError(
    AttemptFailure.CLOSED,
    'the stream ended without its end marker',
  );
}
