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
 * Lines of this size in total are written without a pause, so that the pause
 * does not make lines exceed the bound.
 */
const MAXIMUM_BATCH_BYTES = 65_536;

/**
 * Writes lines without blocking the caller. Each write occupies a thread of the
 * runtime and wakes the event loop, so lines that follow within a pause share
 * one. While the reader of the output is stalled, lines beyond a bound are
 * dropped and counted, so that a slow log reader never delays a request. The
 * next write reports the number of dropped lines in a line of its own.
 */
export class BoundedLineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private wroteAtMilliseconds = -Infinity;
  /** Set while lines wait for the end of the pause. */
  private pauseTimer: NodeJS.Timeout | undefined;
  private writtenLineCount = 0;
  private droppedLineCount = 0;
  private unreportedDroppedLineCount = 0;
  private readonly idleListeners = new Set<() => void>();

  /**
   * @param maximumPendingBytes most bytes that may wait to be written, besides
   *     those of the write in progress.
   * @param pauseMilliseconds least time from the begin of one write to that of
   *     the next.
   */
  constructor(
    private readonly sink: ByteSink,
    private readonly maximumPendingBytes: number,
    private readonly pauseMilliseconds = 0,
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
    const isIdle = !this.isWriting && this.pendingLines.length === 0;
    if (isIdle) return Promise.resolve(true);
    return new Promise(resolve => {
      const settle = (isIdle: boolean) => {
        clearTimeout(timer);
        this.idleListeners.delete(onIdle);
        resolve(isIdle);
      };
      const onIdle = () => settle(true);
      const timer = setTimeout(() => settle(false), timeoutMilliseconds);
      this.idleListeners.add(onIdle);
      this.flushPendingLines();
    });
  }

  private flushPendingLines(): void {
    if (this.isWriting || this.pendingLines.length === 0) return;
    if (this.isPausing()) return;
    this.isWriting = true;
    this.wroteAtMilliseconds = performance.now();
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

  /** Whether the lines wait for others; they are written after the pause. */
  private isPausing(): boolean {
    const isFlushing = this.idleListeners.size > 0;
    if (isFlushing || this.pendingBytes >= MAXIMUM_BATCH_BYTES) return false;
    const elapsed = performance.now() - this.wroteAtMilliseconds;
    if (elapsed >= this.pauseMilliseconds) return false;
    this.pauseTimer ??= setTimeout(() => {
      this.pauseTimer = undefined;
      this.flushPendingLines();
    }, this.pauseMilliseconds - elapsed);
    return true;
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
