import {EventSplitter} from '../event_splitter.js';

/** Why a stream of events cannot go on. */
export enum EventOrderProblem {
  /** An event between the last one and this one is missing. */
  GAP = 'gap',
  /** An event has no number. */
  NO_NUMBER = 'no_number',
}

/** Whole events that go on where the last ones ended. */
export interface SequencedChunk {
  /** Undefined when the piece completes no new event. */
  readonly bytes: Buffer | undefined;
  readonly problem: EventOrderProblem | undefined;
}

/**
 * Passes on whole events in order, each once, over all attempts at a stream.
 * An upstream that resumes may repeat events that the caller has.
 */
export class OrderedEvents {
  private splitter = new EventSplitter();
  private lastPassedId: number | undefined;

  /** @param after the last event the caller had before the request, if any. */
  constructor(after: number | undefined) {
    this.lastPassedId = after;
  }

  /** Number of the last event passed on. */
  get lastEventId(): number | undefined {
    return this.lastPassedId;
  }

  /** Whether bytes of an unfinished event are left. */
  get hasPartialEvent(): boolean {
    return this.splitter.hasRest;
  }

  /** Forgets the unfinished event of an attempt that broke. */
  discardPartialEvent(): void {
    this.splitter = new EventSplitter();
  }

  /** Takes a piece of the body. */
  push(piece: Uint8Array): SequencedChunk {
    const whole: Buffer[] = [];
    for (const {bytes, id} of this.splitter.push(piece)) {
      const number = id === undefined ? NaN : Number(id);
      if (!Number.isInteger(number)) {
        return {bytes: join(whole), problem: EventOrderProblem.NO_NUMBER};
      }
      if (this.lastPassedId !== undefined && number <= this.lastPassedId)
        continue;
      if (this.lastPassedId !== undefined && number !== this.lastPassedId + 1) {
        return {bytes: join(whole), problem: EventOrderProblem.GAP};
      }
      this.lastPassedId = number;
      whole.push(bytes);
    }
    return {bytes: join(whole), problem: undefined};
  }
}

function join(events: readonly Buffer[]): Buffer | undefined {
  if (events.length === 0) return undefined;
  return events.length === 1 ? events[0] : Buffer.concat(events);
}
