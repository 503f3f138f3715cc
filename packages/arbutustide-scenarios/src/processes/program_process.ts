import type {ChildProcess} from 'node:child_process';
import type {Interface} from 'node:readline';

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** Lines of output kept for a failure report. */
const LINES_KEPT = 400;

/** A program of this repository running as a process of its own. */
export class ProgramProcess {
  readonly lines: string[] = [];
  private readonly child: ChildProcess;
  private readonly reader: Interface;
  private readonly exited: Promise<number | null>;

  constructor(
    readonly name: string,
    command: string,
    parameters: readonly string[],
  ) {
    this.child = spawn(command, parameters, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {stdout, stderr} = this.child;
    if (!stdout || !stderr) throw new Error(`${name} has no output`);
    this.reader = createInterface({input: stdout});
    this.reader.on('line', line => this.keep(line));
    stderr.on('data', (piece: Buffer) => this.keep(piece.toString('utf8')));
    this.exited = once(this.child, 'exit').then(([code]) => code);
  }

  /** Whether the process still runs. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Waits for the process to end. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Waits for the first line, past or to come, that satisfies a condition. */
  async waitForLine(isWanted: (line: string) => boolean): Promise<string> {
    const known = this.lines.find(isWanted);
    if (known !== undefined) return known;
    return new Promise((resolve, reject) => {
      const onLine = (line: string) => {
        if (!isWanted(line)) return;
        this.reader.off('line', onLine);
        resolve(line);
      };
      this.reader.on('line', onLine);
      void this.exited.then(code => {
        const output = this.lines.join('\n');
        reject(new Error(`${this.name} ended with ${code}:\n${output}`));
      });
    });
  }

  private keep(line: string): void {
    this.lines.push(line);
    if (this.lines.length > LINES_KEPT) this.lines.shift();
  }
}
