import type {ChildProcess} from 'node:child_process';

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readdir, readFile} from 'node:fs/promises';
import {createInterface} from 'node:readline';

const FATAL_LINE_START = 'FATAL ERROR';
const PEAK_MEMORY_PATTERN = /VmHWM:\s+(\d+) kB/;
const KIBIBYTES_PER_MEBIBYTE = 1_024;

/** A process of Node.js whose memory and descriptors are read while it runs. */
export class MeasuredProcess {
  peakMemoryMebibytes = 0;
  peakFileDescriptors = 0;
  /** What the process wrote as it was aborted. */
  fatalLine: string | undefined;
  private readonly child: ChildProcess;
  private readonly kill = () => this.child.kill('SIGKILL');

  /** @param onLine called with each line of output. */
  constructor(
    parameters: readonly string[],
    environment: NodeJS.ProcessEnv,
    onLine: (line: string) => void = () => {},
  ) {
    this.child = spawn(process.execPath, parameters, {
      env: environment,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    process.once('exit', this.kill);
    for (const input of [this.child.stdout, this.child.stderr]) {
      if (!input) continue;
      createInterface({input}).on('line', line => {
        if (line.startsWith(FATAL_LINE_START)) this.fatalLine = line;
        onLine(line);
      });
    }
  }

  /** Undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Exit code or signal; undefined while the process runs. */
  get end(): number | string | undefined {
    return this.child.signalCode ?? this.child.exitCode ?? undefined;
  }

  /** Reads the memory and descriptors in use. */
  async measure(): Promise<void> {
    const directory = `/proc/${this.child.pid}`;
    try {
      const status = await readFile(`${directory}/status`, 'utf8');
      const kibibytes = Number(PEAK_MEMORY_PATTERN.exec(status)?.[1] ?? 0);
      this.peakMemoryMebibytes = Math.max(
        this.peakMemoryMebibytes,
        Math.round(kibibytes / KIBIBYTES_PER_MEBIBYTE),
      );
      const {length} = await readdir(`${directory}/fd`);
      this.peakFileDescriptors = Math.max(this.peakFileDescriptors, length);
    } catch {
      // The process has ended.
    }
  }

  async stop(): Promise<void> {
    process.off('exit', this.kill);
    if (this.end !== undefined) return;
    const ended = once(this.child, 'exit');
    this.kill();
    await ended;
  }
}
