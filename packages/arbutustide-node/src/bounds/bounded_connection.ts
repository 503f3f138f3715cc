import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** While more answers are open, the connection is not read. */
const READ_AHEAD = 4;
/** Tells the parser to skip the rest of its input. */
const SKIP_REST = 2;

/** A request as the parser passes it on. */
interface ParsedRequest extends IncomingMessage {
  upgrade?: boolean;
}

/** Part of the parser of Node.js that is not in its public types. */
interface RequestParser {
  onIncoming(message: ParsedRequest, keepAlive: boolean): number;
}

/** A connection of an HTTP server. */
interface ParsedSocket extends Socket {
  readonly parser?: RequestParser | null;
}

/** What a connection reports to the bounds of its server. */
export interface ConnectionListener {
  /** More requests came than one connection may have ahead. */
  onOverrun(): void;
  /** All answers that were owed have been sent on a connection that ends. */
  onLastAnswer(): void;
}

/** Bounds the requests of one connection whose answers are not sent. */
export class BoundedConnection {
  private readonly answers = new Set<ServerResponse>();
  private requestCount = 0;
  private isHeld = false;
  private isEnding = false;
  private takenBytes = 0;
  private stalledSinceMilliseconds: number | undefined;

  constructor(
    readonly socket: Socket,
    private readonly maximumAnswers: number,
    private readonly listener: ConnectionListener,
  ) {
    // Each request listens for the end of the connection.
    socket.setMaxListeners(socket.getMaxListeners() + 2 * maximumAnswers);
    this.interceptRequests(socket);
    this.interceptReading(socket);
  }

  /** Number of requests whose answers are not sent. */
  get openCount(): number {
    return this.answers.size;
  }

  /** Whether it is closed after the answers that it still waits for. */
  get isStopped(): boolean {
    return this.isEnding;
  }

  /** Bytes of answers that the system has not taken. */
  get unreadBytes(): number {
    let bytes = this.socket.writableLength;
    for (const response of this.answers)
      if (!response.socket) bytes += response.writableLength;
    return bytes;
  }

  /** How long the caller has taken nothing of what is written. */
  measureStall(): number {
    const {socket} = this;
    const takenBytes = socket.bytesWritten - socket.writableLength;
    const now = performance.now();
    if (socket.writableLength === 0) this.stalledSinceMilliseconds = undefined;
    else if (takenBytes !== this.takenBytes)
      this.stalledSinceMilliseconds = now;
    this.takenBytes = takenBytes;
    return now - (this.stalledSinceMilliseconds ??= now);
  }

  /** @param onSent called when its answer has been sent or cannot be. */
  addAnswer(response: ServerResponse, onSent: () => void): void {
    this.requestCount += 1;
    this.answers.add(response);
    if (this.answers.size > READ_AHEAD) this.hold();
    response.once('close', () => {
      this.answers.delete(response);
      onSent();
      this.proceed();
    });
  }

  /** Reads no more; the connection ends after the answers that are owed. */
  stop(): void {
    this.stopReading();
    const last = [...this.answers].at(-1);
    if (last && !last.headersSent) last.setHeader('connection', 'close');
  }

  /**
   * Ends the work on answers after the connection has closed. The server closes
   * only the response that it was writing, not those that waited for it.
   */
  abandonAnswers(): void {
    for (const response of [...this.answers]) {
      response.destroy();
      response.emit('close');
    }
  }

  /** Reads again, for example to discard what comes. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.socket.resume();
  }

  private proceed(): void {
    if (!this.isEnding) {
      if (this.answers.size <= READ_AHEAD) this.release();
    } else if (this.answers.size === 0) this.listener.onLastAnswer();
  }

  private stopReading(): void {
    this.isEnding = true;
    this.hold();
  }

  private hold(): void {
    this.isHeld = true;
    this.socket.pause();
  }

  /**
   * The parser reads all requests of a chunk at once and creates a response for
   * each; those beyond the bound must not be created.
   */
  private interceptRequests(socket: ParsedSocket): void {
    const {parser} = socket;
    if (!parser) return;
    const onIncoming = parser.onIncoming.bind(parser);
    parser.onIncoming = (message, keepAlive) => {
      if (!this.isEnding && this.answers.size >= this.maximumAnswers) {
        this.stop();
        this.listener.onOverrun();
      }
      if (this.isEnding) {
        message.upgrade = false;
        return SKIP_REST;
      }
      const {requestCount} = this;
      const action = onIncoming(message, keepAlive);
      // The server has answered a malformed request itself.
      if (action === 0 && this.requestCount === requestCount)
        this.stopReading();
      return action;
    };
  }

  /** The server resumes a paused socket to read or discard a body. */
  private interceptReading(socket: Socket): void {
    const resume = socket.resume.bind(socket);
    socket.resume = () => (this.isHeld ? socket : resume());
    socket.on('resume', () => {
      if (this.isHeld) socket.emit('pause');
    });
    const destroySoon = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
      this.release();
      destroySoon();
    };
  }
}
