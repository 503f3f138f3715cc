import {AsyncLocalStorage} from 'node:async_hooks';

/** Whether the code of a simulated process runs. */
export enum ProcessState {
  RUNNING = 'running',
  FROZEN = 'frozen',
  DEAD = 'dead',
}

/** The process whose code runs at this moment, if any. */
const currentProcess = new AsyncLocalStorage<SimulatedProcess | undefined>();

/**
 * A process inside the test's own. Its timers and the results of its calls
 * wait while it is frozen, as with SIGSTOP, and never come once it is dead.
 */
export class SimulatedProcess {
  private processState = ProcessState.RUNNING;
  private deferredCallbacks: (() => void)[] = [];
  private readonly deathListeners: (() => void)[] = [];

  constructor(readonly name: string) {}

  get state(): ProcessState {
    return this.processState;
  }

  /** Runs code as part of this process. */
  run<T>(code: () => T): T {
    return currentProcess.run(this, code);
  }

  /** Stops all code until `thaw`. */
  freeze(): void {
    if (this.processState !== ProcessState.RUNNING) return;
    this.processState = ProcessState.FROZEN;
  }

  /** Lets code run on, which then finds that time has passed. */
  thaw(): void {
    if (this.processState !== ProcessState.FROZEN) return;
    this.processState = ProcessState.RUNNING;
    const waiting = this.deferredCallbacks;
    this.deferredCallbacks = [];
    for (const code of waiting) code();
  }

  /** Ends the process for good. */
  kill(): void {
    if (this.processState === ProcessState.DEAD) return;
    this.processState = ProcessState.DEAD;
    this.deferredCallbacks = [];
    for (const listener of this.deathListeners) listener();
  }

  /** Calls back when the process dies. */
  onDeath(listener: () => void): void {
    if (this.processState === ProcessState.DEAD) listener();
    else this.deathListeners.push(listener);
  }

  /** Runs code as soon as the process runs. */
  runWhenRunning(code: () => void): void {
    if (this.processState === ProcessState.RUNNING) this.run(code);
    else if (this.processState === ProcessState.FROZEN) {
      this.deferredCallbacks.push(() => this.run(code));
    }
  }

  /** Resolves as soon as the process runs; never once it is dead. */
  waitUntilRunning(): Promise<void> {
    if (this.processState === ProcessState.RUNNING) return Promise.resolve();
    return new Promise(resolve => this.runWhenRunning(resolve));
  }
}

/** Runs code of the outside, whatever process asks for it. */
export function runOutsideProcesses<T>(code: () => T): T {
  return currentProcess.run(undefined, code);
}

/** Makes timers wait for the process that set them; call with a fake clock. */
export function bindTimersToProcesses(): void {
  const setTimer = globalThis.setTimeout;
  const bound = (code: () => void, milliseconds?: number) => {
    const owner = currentProcess.getStore();
    if (!owner) return setTimer(code, milliseconds);
    return setTimer(() => owner.runWhenRunning(code), milliseconds);
  };
  globalThis.setTimeout = bound as typeof globalThis.setTimeout;
}
