import {write} from 'node:fs';

/**
 * Writes bytes asynchronously and calls back with the number of bytes written,
 * which may be fewer than given.
 */
export type ByteSink = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Numbers of lines that were written and that were dropped. */
export interface LineCounts {
  readonly written: number;
  readonly dropped: number;
}

/**
 * Writes lines without blocking the caller. While the reader of the output is
 * stalled, lines beyond a bound are dropped and counted, so that a slow log
 * reader never delays a request. The next write reports the number of dropped
 * lines in a line of its own.
 */
export class BoundedLineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private writtenLineCount = 0;
  private droppedLineCount = 0;
  private unreportedDroppedLineCount = 0;
  private readonly idleListeners = new Set<() => void>();

  /**
   * @param maximumPendingBytes most bytes that may wait to be written, besides
   *     those of the write in progress.
   */
  constructor(
    private readonly sink: ByteSink,
    private readonly maximumPendingBytes: number,
  ) {}

  get lineCounts(): LineCounts {
    return {written: this.writtenLineCount, dropped: this.droppedLineCount};
  }

  /** @param line one line, including its line terminator. */
  write(line: string): void {
    if (this.pendingBytes + line.length > this.maximumPendingBytes) {
      this.droppedLineCount += 1;
      this.unreportedDroppedLineCount += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    this.flushPendingLines();
  }

  /**
   * Waits until all lines are written, for a limited time, because the reader
   * may be stalled.
   *
   * @return whether no line waits any more.
   */
  flush(timeoutMilliseconds: number): Promise<boolean> {
    if (!this.isWriting) return Promise.resolve(true);
    return new Promise(resolve => {
      const settle = (isIdle: boolean) => {
        clearTimeout(timer);
        this.idleListeners.delete(onIdle);
        resolve(isIdle);
      };
      const onIdle = () => settle(true);
      const timer = setTimeout(() => settle(false), timeoutMilliseconds);
      this.idleListeners.add(onIdle);
    });
  }

  private flushPendingLines(): void {
    if (this.isWriting || this.pendingLines.length === 0) return;
    this.isWriting = true;
    const lines = this.pendingLines;
    this.pendingLines = [];
    this.pendingBytes = 0;
    if (this.unreportedDroppedLineCount > 0) {
      lines.push(
        `{"msg":"log lines dropped","lines":${this.unreportedDroppedLineCount}}\n`,
      );
      this.unreportedDroppedLineCount = 0;
    }
    this.writeFully(Buffer.from(lines.join('')), lines.length);
  }

  private writeFully(bytes: Buffer, lineCount: number): void {
    this.sink(bytes, (error, written) => {
      if (!error && written < bytes.length) {
        this.writeFully(bytes.subarray(written), lineCount);
        return;
      }
      if (error) this.droppedLineCount += lineCount;
      else this.writtenLineCount += lineCount;
      this.isWriting = false;
      this.flushPendingLines();
      if (this.isWriting) return;
      for (const onIdle of [...this.idleListeners]) onIdle();
    });
  }
}

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Writes to standard output on the thread pool of Node.js. */
export const standardOutputSink: ByteSink = (bytes, done) =>
  write(STANDARD_OUTPUT_DESCRIPTOR, bytes, done);
