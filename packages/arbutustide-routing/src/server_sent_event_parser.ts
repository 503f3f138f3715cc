const EVENT_END = Buffer.from('\n\n');
const LINE_END = '\n';
const ID_FIELD = 'id: ';
const DONE_DATA = 'data: [DONE]';

/** One complete server-sent event. */
export interface ServerSentEvent {
  /** The event as received, including its blank line. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Whether it is the `[DONE]` marker that ends a complete stream. */
  readonly isDone: boolean;
}

/** Incremental parser that splits a byte stream into server-sent events. */
export class ServerSentEventParser {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Size of the incomplete event that is buffered. */
  get partialEventBytes(): number {
    return this.partialEvent.length;
  }

  /** Appends a chunk and yields the events that it completes. */
  *push(chunk: Uint8Array): Generator<ServerSentEvent> {
    const buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
    this.partialEvent =
      this.partialEvent.length === 0
        ? buffer
        : Buffer.concat([this.partialEvent, buffer]);
    let end = this.partialEvent.indexOf(EVENT_END);
    while (end >= 0) {
      const bytes = this.partialEvent.subarray(0, end + EVENT_END.length);
      this.partialEvent = this.partialEvent.subarray(end + EVENT_END.length);
      yield parseEvent(bytes);
      end = this.partialEvent.indexOf(EVENT_END);
    }
  }
}

/** Most events begin with their id; only others are split into lines. */
function parseEvent(bytes: Buffer): ServerSentEvent {
  const isDone = bytes.includes(DONE_DATA) && hasDoneLine(bytes);
  if (bytes.indexOf(ID_FIELD) === 0) {
    const id = bytes.toString('utf8', ID_FIELD.length, bytes.indexOf(LINE_END));
    return {bytes, id, isDone};
  }
  const idLine = linesOf(bytes).find(line => line.startsWith(ID_FIELD));
  return {bytes, id: idLine?.slice(ID_FIELD.length), isDone};
}

function hasDoneLine(bytes: Buffer): boolean {
  return linesOf(bytes).some(line => line.trimEnd() === DONE_DATA);
}

function linesOf(bytes: Buffer): string[] {
  return bytes.toString('utf8').split(LINE_END);
}
