import {AsyncLocalStorage} from 'node:async_hooks';

/** Execution state of a simulated process. */
export enum ProcessState {
  RUNNING = 'running',
  FROZEN = 'frozen',
  DEAD = 'dead',
}

/** The simulated process to which the running code belongs, if any. */
const currentProcess = new AsyncLocalStorage<SimulatedProcess | undefined>();

/**
 * A process that is simulated within the test's process. While it is frozen,
 * its timers and the results of its calls are deferred, as with SIGSTOP. Once
 * it is dead, they are dropped.
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

  /** Defers all callbacks of the process until `thaw`. */
  freeze(): void {
    if (this.processState !== ProcessState.RUNNING) return;
    this.processState = ProcessState.FROZEN;
  }

  /** Runs the deferred callbacks, for which the clock has moved on meanwhile. */
  thaw(): void {
    if (this.processState !== ProcessState.FROZEN) return;
    this.processState = ProcessState.RUNNING;
    const callbacks = this.deferredCallbacks;
    this.deferredCallbacks = [];
    for (const callback of callbacks) callback();
  }

  /** Ends the process and drops its deferred callbacks. */
  kill(): void {
    if (this.processState === ProcessState.DEAD) return;
    this.processState = ProcessState.DEAD;
    this.deferredCallbacks = [];
    for (const listener of this.deathListeners) listener();
  }

  /** Calls back when the process dies, or at once if it is dead. */
  onDeath(listener: () => void): void {
    if (this.processState === ProcessState.DEAD) listener();
    else this.deathListeners.push(listener);
  }

  /** Runs code at once, or after `thaw` if frozen, or never if dead. */
  runWhenRunning(code: () => void): void {
    if (this.processState === ProcessState.RUNNING) this.run(code);
    else if (this.processState === ProcessState.FROZEN) {
      this.deferredCallbacks.push(() => this.run(code));
    }
  }

  /** Resolves once the process is running; never if it is dead. */
  waitUntilRunning(): Promise<void> {
    if (this.processState === ProcessState.RUNNING) return Promise.resolve();
    return new Promise(resolve => this.runWhenRunning(resolve));
  }
}

/** Runs code as part of no simulated process. */
export function runOutsideProcesses<T>(code: () => T): T {
  return currentProcess.run(undefined, code);
}

/**
 * Replaces the global `setTimeout`, so that a timer runs in the simulated
 * process that set it. Call after the fake clock is installed.
 */
export function bindTimersToProcesses(): void {
  const setFakeTimeout = globalThis.setTimeout;
  const setProcessTimeout = (code: () => void, milliseconds?: number) => {
    const owner = currentProcess.getStore();
    if (!owner) return setFakeTimeout(code, milliseconds);
    return setFakeTimeout(() => owner.runWhenRunning(code), milliseconds);
  };
  globalThis.setTimeout = setProcessTimeout as typeof globalThis.setTimeout;
}
