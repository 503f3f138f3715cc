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
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private writtenLines = 0;
  private droppedLines = 0;
  private unreportedDrops = 0;

  /** @param limitBytes most bytes that wait to be written. */
  constructor(
    private readonly sink: ByteSink,
    private readonly limitBytes: number,
  ) {}

  get counts(): LineCounts {
    return {written: this.writtenLines, dropped: this.droppedLines};
  }

  /** Takes one line, its end included. */
  write(line: string): void {
    if (this.waitingBytes + line.length > this.limitBytes) {
      this.droppedLines += 1;
      this.unreportedDrops += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.drain();
  }

  private drain(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    this.isWriting = true;
    const lines = this.waiting;
    this.waiting = [];
    this.waitingBytes = 0;
    if (this.unreportedDrops > 0) {
      lines.push(
        `{"msg":"log lines dropped","lines":${this.unreportedDrops}}\n`,
      );
      this.unreportedDrops = 0;
    }
    this.writeAll(Buffer.from(lines.join('')), lines.length);
  }

  private writeAll(bytes: Buffer, lines: number): void {
    this.sink(bytes, (error, written) => {
      if (!error && written < bytes.length) {
        this.writeAll(bytes.subarray(written), lines);
        return;
      }
      if (error) this.droppedLines += lines;
      else this.writtenLines += lines;
      this.isWriting = false;
      this.drain();
    });
  }
}

const STANDARD_OUTPUT = 1;

/** Standard output, written by the runtime's thread pool. */
export const standardOutputSink: ByteSink = (bytes, done) =>
  write(STANDARD_OUTPUT, bytes, done);
