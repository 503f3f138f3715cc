import {write} from 'node:fs';

/** Writes bytes somewhere and calls back when they are written. */
export type ByteSink = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Counts of what became of the lines. */
export interface LineCounts {
  readonly written: number;
  readonly dropped: number;
}

/**
 * Writes lines without ever making the caller wait. A reader that stalls costs
 * lines, which are counted, and no request any time.
 */
export class BoundedLineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private writtenLineCount = 0;
  private droppedLineCount = 0;
  private unreportedDroppedLineCount = 0;

  /** @param maximumPendingBytes most bytes that wait to be written. */
  constructor(
    private readonly sink: ByteSink,
    private readonly maximumPendingBytes: number,
  ) {}

  get lineCounts(): LineCounts {
    return {written: this.writtenLineCount, dropped: this.droppedLineCount};
  }

  /** Takes one line, its end included. */
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
    });
  }
}

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Standard output, written by the runtime's thread pool. */
export const standardOutputSink: ByteSink = (bytes, done) =>
  write(STANDARD_OUTPUT_DESCRIPTOR, bytes, done);
