import type {EventLoop} from './runtime_loop.js';
import type {InputMonitor} from './input_monitor.js';

import {inputMonitor} from './input_monitor.js';
import {RUNTIME_LOOP} from './runtime_loop.js';

/** After a longer turn, the loop reads its input again first. */
const LONG_TURN_MILLISECONDS = 50;
/**
 * While input arrives faster than it is read, periods of this length are for
 * reading alone and for tasks alternately.
 */
const PERIOD_MILLISECONDS = 50;

/** A task that waits for a turn of the event loop. */
interface WaitingTask {
  /** Polls for input that had begun when the task came. */
  readonly pollCount: number;
  readonly isWanted: () => boolean;
  readonly proceed: (polledAtMilliseconds: number) => void;
}

/**
 * Lets one task proceed in each turn of the event loop, after the loop has read
 * its input. The loop accepts one connection in a turn: if it worked on more in
 * between, connections would wait, with their requests and their ends.
 */
export class TurnQueue {
  /** By key, in the order in which the keys take their turns. */
  private readonly tasks = new Map<object, WaitingTask[]>();
  private isScheduled = false;
  private behindSinceMilliseconds: number | undefined;

  constructor(
    private readonly monitor: InputMonitor = inputMonitor,
    private readonly loop: EventLoop = RUNTIME_LOOP,
  ) {}

  /**
   * Waits until the input that has arrived by now has been read, and for the
   * tasks that came before with this key. Keys take turns.
   *
   * @param isWanted a task that is not wanted any more needs no turn.
   * @param key what tasks have in common, such as a connection; a task without
   *     one has a key of its own.
   * @return end of the latest poll for input, by the monotonic clock.
   */
  nextTurn(
    isWanted: () => boolean = () => true,
    key: object = {},
  ): Promise<number> {
    return new Promise(resolve => {
      const {pollCount} = this.monitor;
      const task = {pollCount, isWanted, proceed: resolve};
      const tasks = this.tasks.get(key);
      if (tasks) tasks.push(task);
      else this.tasks.set(key, [task]);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.loop.afterPoll(() => {
      this.isScheduled = false;
      this.proceedWithNext();
      if (this.tasks.size > 0) this.schedule();
    });
  }

  /** Lets the first task proceed, and those before it that are not wanted. */
  private proceedWithNext(): void {
    const {pollCount, polledAtMilliseconds} = this.monitor.lastTurn;
    const isReadingFirst = this.isReadingFirst();
    for (const [key, tasks] of this.tasks) {
      for (;;) {
        const [task] = tasks;
        if (task.pollCount === pollCount) return;
        const isWanted = task.isWanted();
        if (isWanted && isReadingFirst) return;
        tasks.shift();
        if (isWanted || tasks.length === 0) this.tasks.delete(key);
        task.proceed(polledAtMilliseconds);
        if (isWanted && tasks.length > 0) this.tasks.set(key, tasks);
        if (isWanted) return;
        if (tasks.length === 0) break;
      }
    }
  }

  /** Whether more input may wait that should be read before work goes on. */
  private isReadingFirst(): boolean {
    const {hasAccepted, activeMilliseconds, polledAtMilliseconds} =
      this.monitor.lastTurn;
    if (!hasAccepted && activeMilliseconds <= LONG_TURN_MILLISECONDS) {
      this.behindSinceMilliseconds = undefined;
      return false;
    }
    this.behindSinceMilliseconds ??= polledAtMilliseconds;
    const behind = polledAtMilliseconds - this.behindSinceMilliseconds;
    return behind % (2 * PERIOD_MILLISECONDS) < PERIOD_MILLISECONDS;
  }
}

/** The queue of this thread's event loop. */
export const turnQueue = new TurnQueue();
