import type {ChildProcess} from 'node:child_process';
import type {Interface} from 'node:readline';

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** Latest lines of output kept for error messages. */
const MAXIMUM_OUTPUT_LINES = 400;

/** A child process whose output is collected. */
export class ProgramProcess {
  /** Standard output line by line and standard error chunk by chunk. */
  readonly outputLines: string[] = [];
  private readonly child: ChildProcess;
  private readonly standardOutputReader: Interface;
  private readonly exitCode: Promise<number | null>;
  private hasBeenSignalled = false;

  constructor(
    readonly name: string,
    command: string,
    parameters: readonly string[],
  ) {
    this.child = spawn(command, parameters, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {stdout, stderr} = this.child;
    if (!stdout || !stderr)
      throw new Error(`process ${name} has no output pipes`);
    this.standardOutputReader = createInterface({input: stdout});
    this.standardOutputReader.on('line', line => this.appendOutput(line));
    stderr.on('data', (chunk: Buffer) =>
      this.appendOutput(chunk.toString('utf8')),
    );
    this.exitCode = once(this.child, 'exit').then(([code]) => code);
  }

  /** Whether the process still runs. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Whether the process has ended although nobody told it to. */
  get hasEndedByItself(): boolean {
    return !this.isRunning && !this.hasBeenSignalled;
  }

  sendSignal(name: NodeJS.Signals): void {
    this.hasBeenSignalled = true;
    this.child.kill(name);
  }

  /** Resolves to the exit code, or null if a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.exitCode;
  }

  /**
   * Resolves to the first line of output, past or future, that matches; rejects
   * with the output if the process exits first.
   */
  async waitForLine(predicate: (line: string) => boolean): Promise<string> {
    const existingLine = this.outputLines.find(predicate);
    if (existingLine !== undefined) return existingLine;
    return new Promise((resolve, reject) => {
      const onLine = (line: string) => {
        if (!predicate(line)) return;
        this.standardOutputReader.off('line', onLine);
        resolve(line);
      };
      this.standardOutputReader.on('line', onLine);
      void this.exitCode.then(code => {
        const output = this.outputLines.join('\n');
        reject(
          new Error(`process ${this.name} exited with ${code}:\n${output}`),
        );
      });
    });
  }

  private appendOutput(output: string): void {
    this.outputLines.push(output);
    if (this.outputLines.length > MAXIMUM_OUTPUT_LINES)
      this.outputLines.shift();
  }
}
