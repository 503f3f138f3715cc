import {ServerSentEventParser} from '../server_sent_event_parser.js';

/** Larger events count as bytes that are no answer. */
const MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

/**
 * Lines of fields or comments, then a blank line. Fields of any name may come, as
 * readers ignore those that they do not know. A head of HTTP/1.1 has CRLF.
 */
const WELL_FORMED_EVENT = /^(?:(?:[a-z][a-z_-]*)?:[^\r\n]*\n)+\n$/;

/** Why an event stream cannot be continued. */
export enum EventOrderProblem {
  /** It has other bytes than events, such as the text of an error. */
  MALFORMED = 'malformed',
  /** The id of an event does not follow that of the last one. */
  GAP = 'gap',
  /** An event has no integer id. */
  NO_NUMBER = 'no_number',
  /** An event does not end within the largest size of events. */
  TOO_LARGE = 'too_large',
}

/** New complete events, in order, from one chunk of a body. */
export interface SequencedChunk {
  /** Undefined if the chunk completes no new event. */
  readonly bytes: Buffer | undefined;
  readonly problem: EventOrderProblem | undefined;
}

/**
 * Passes on complete events in order, each once, over all attempts of a stream.
 * Drops events that the caller already has, as a resuming upstream may repeat
 * them, and detects gaps.
 */
export class EventSequencer {
  private splitter = new ServerSentEventParser();
  private lastPassedId: number | undefined;
  private isAttemptEmpty = true;
  private passed = 0;

  /** @param after id of the last event that the caller has, if it resumes. */
  constructor(after: number | undefined) {
    this.lastPassedId = after;
  }

  /** Id of the last event passed on, or from which the caller resumes. */
  get lastEventId(): number | undefined {
    return this.lastPassedId;
  }

  /** Number of events that were passed on. */
  get passedCount(): number {
    return this.passed;
  }

  /** Whether the attempt has brought an event, also one that was dropped. */
  get hasEventOfAttempt(): boolean {
    return !this.isAttemptEmpty;
  }

  /** Whether the bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.splitter.hasPartialEvent;
  }

  /** Begins with the next attempt; discards what the last one left incomplete. */
  beginAttempt(): void {
    this.splitter = new ServerSentEventParser();
    this.isAttemptEmpty = true;
  }

  /** Parses a chunk of the body; returns the new events that it completes. */
  push(chunk: Uint8Array): SequencedChunk {
    const complete: Buffer[] = [];
    for (const {bytes, id} of this.splitter.push(chunk)) {
      if (!WELL_FORMED_EVENT.test(bytes.toString('latin1'))) {
        return {bytes: join(complete), problem: EventOrderProblem.MALFORMED};
      }
      const number = id === undefined ? NaN : Number(id);
      if (!Number.isInteger(number)) {
        return {bytes: join(complete), problem: EventOrderProblem.NO_NUMBER};
      }
      this.isAttemptEmpty = false;
      if (this.lastPassedId !== undefined && number <= this.lastPassedId)
        continue;
      if (this.lastPassedId !== undefined && number !== this.lastPassedId + 1) {
        return {bytes: join(complete), problem: EventOrderProblem.GAP};
      }
      this.lastPassedId = number;
      this.passed += 1;
      complete.push(bytes);
    }
    const problem =
      this.splitter.partialEventBytes > MAXIMUM_EVENT_BYTES
        ? EventOrderProblem.TOO_LARGE
        : undefined;
    return {bytes: join(complete), problem};
  }
}

function join(events: readonly Buffer[]): Buffer | undefined {
  if (events.length === 0) return undefined;
  return events.length === 1 ? events[0] : Buffer.concat(events);
}
