import type {InputMonitor} from './input_monitor.js';
import type {EventLoop} from './runtime_loop.js';

import {inputMonitor} from './input_monitor.js';
import {RUNTIME_LOOP} from './runtime_loop.js';

/** The longest that a timeout waits, as a multiple of its limit. */
const MAXIMUM_EXTENSION = 4;

/** Options of a ResponseTimeout. */
export interface ResponseTimeoutOptions {
  /**
   * The longest that it waits, with the time that does not count, if that is
   * shorter than a multiple of the limit; no shorter than the limit itself.
   */
  readonly maximumMilliseconds?: number;
  readonly monitor?: InputMonitor;
  readonly loop?: EventLoop;
}

/**
 * Limits the time for an answer. Time in which this process read no input does
 * not count, and what has arrived is read before the limit takes effect: the
 * delay of the process is not that of whom it has asked.
 */
export class ResponseTimeout {
  private readonly controller = new AbortController();
  private readonly startedAtMilliseconds = performance.now();
  private readonly lateAtStart: number;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly maximumMilliseconds: number;
  private readonly monitor: InputMonitor;
  private readonly loop: EventLoop;

  constructor(
    private readonly limitMilliseconds: number,
    {
      maximumMilliseconds = Infinity,
      monitor = inputMonitor,
      loop = RUNTIME_LOOP,
    }: ResponseTimeoutOptions = {},
  ) {
    this.maximumMilliseconds = Math.min(
      Math.max(limitMilliseconds, maximumMilliseconds),
      MAXIMUM_EXTENSION * limitMilliseconds,
    );
    this.monitor = monitor;
    this.loop = loop;
    this.lateAtStart = monitor.lateMilliseconds;
    this.schedule(limitMilliseconds);
  }

  /** Aborted with a `TimeoutError` when the time is over. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the time is over. */
  get hasExpired(): boolean {
    return this.controller.signal.aborted;
  }

  /** Call it when the answer has come or is not needed any more. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(milliseconds: number): void {
    this.timer = setTimeout(() => this.check(), Math.ceil(milliseconds));
    this.timer.unref();
  }

  private check(): void {
    const remaining = this.remainingMilliseconds();
    if (remaining > 0) {
      this.schedule(remaining);
      return;
    }
    // Timers run before the poll for input.
    this.loop.afterPoll(() => {
      if (!this.isClosed) this.controller.abort(createTimeoutError());
    });
  }

  private remainingMilliseconds(): number {
    const elapsed = performance.now() - this.startedAtMilliseconds;
    const late = this.monitor.lateMilliseconds - this.lateAtStart;
    const limit = this.limitMilliseconds + late;
    return Math.min(limit, this.maximumMilliseconds) - elapsed;
  }
}

function createTimeoutError(): DOMException {
  return new DOMException('The operation timed out.', 'TimeoutError');
}
