import type {EventLoop} from './runtime_loop.js';
import type {InputMonitor} from './input_monitor.js';

import {inputMonitor} from './input_monitor.js';
import {ArrivalRates} from './arrival_rates.js';
import {RUNTIME_LOOP} from './runtime_loop.js';
import {TaskLines} from './task_lines.js';
import {TurnPace} from './turn_pace.js';

/** After a longer turn, the loop reads its input again first. */
const LONG_TURN_MILLISECONDS = 50;
/**
 * While input arrives faster than it is read, periods of this length are for
 * reading alone and for tasks alternately.
 */
const PERIOD_MILLISECONDS = 50;
/**
 * Urgency of tasks that belong to work under way. They come before all others,
 * whose expected waits include them.
 */
const UNDER_WAY = Number.NEGATIVE_INFINITY;
/** Where more urgent tasks take all turns, the others are still told a time. */
const MAXIMUM_OVERTAKING_SHARE = 0.95;

/** Each time after so many turns, the task that came first goes on. */
const TURNS_BY_URGENCY = 7;

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
  private readonly lines = new TaskLines<WaitingTask>();
  /** Of the tasks with an urgency of their own. */
  private readonly pace = new TurnPace();
  private readonly rates = new ArrivalRates();
  private isScheduled = false;
  private turnsByUrgency = 0;
  private behindSinceMilliseconds: number | undefined;

  constructor(
    private readonly monitor: InputMonitor = inputMonitor,
    private readonly loop: EventLoop = RUNTIME_LOOP,
  ) {}

  /**
   * Waits until the input that has arrived by now has been read, and for the
   * tasks that come first. Keys take turns.
   *
   * @param isWanted a task that is not wanted any more needs no turn.
   * @param key what tasks have in common, such as a connection; a task without
   *     one has a key of its own.
   * @param urgency lower numbers come first, tasks without one before all.
   * @return end of the latest poll for input, by the monotonic clock.
   */
  nextTurn(
    isWanted: () => boolean = () => true,
    key: object = {},
    urgency = UNDER_WAY,
  ): Promise<number> {
    return new Promise(resolve => {
      const {pollCount} = this.monitor;
      const task = {pollCount, isWanted, proceed: resolve};
      if (urgency !== UNDER_WAY) this.recordArrival(urgency);
      this.lines.add(task, key, urgency);
      this.schedule();
    });
  }

  /**
   * Number of wanted tasks that come before a new one of this key, without those
   * of work under way.
   */
  countBefore(urgency: number, key: object = {}): number {
    return this.lines.countBefore(key, urgency, isCounted);
  }

  /**
   * Time that a new task of this key would wait if more urgent ones came as
   * often as of late.
   */
  expectedWaitMilliseconds(urgency: number, key: object = {}): number {
    const before = this.countBefore(urgency, key);
    if (before === 0) return 0;
    const {intervalMilliseconds: interval} = this.pace;
    const overtaking = Math.min(
      interval * this.rates.rateBefore(urgency),
      MAXIMUM_OVERTAKING_SHARE,
    );
    return (before * interval) / (1 - overtaking);
  }

  /** Time for which tasks have waited without a pause, but work under way. */
  get busyMilliseconds(): number {
    return this.lines.some(isCounted) ? this.pace.busyMilliseconds : 0;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.loop.afterPoll(() => {
      this.isScheduled = false;
      this.proceedWithNext();
      if (!this.lines.isEmpty) this.schedule();
    });
  }

  /** Lets the first task proceed, and those before it that are not wanted. */
  private proceedWithNext(): void {
    const {pollCount, polledAtMilliseconds} = this.monitor.lastTurn;
    const isReadingFirst = this.isReadingFirst();
    for (const [key, first, urgency] of this.listInOrder()) {
      let task: WaitingTask | undefined = first;
      while (task && task.pollCount !== pollCount) {
        const isWanted: boolean = task.isWanted();
        if (isWanted && isReadingFirst) return;
        const next = this.lines.removeFirst(key, !isWanted);
        if (isWanted) this.recordTurn(urgency);
        task.proceed(polledAtMilliseconds);
        if (isWanted) return;
        task = next;
      }
    }
  }

  private recordArrival(urgency: number): void {
    if (!this.lines.some(isCounted)) this.pace.recordFirst();
    this.rates.record(urgency);
  }

  /**
   * The first tasks of all keys in the order of their turns. Work under way comes
   * first; of the others, the one that waits longest does from time to time, so
   * that none waits for ever behind more urgent ones.
   */
  private listInOrder(): Iterable<[object, WaitingTask, number]> {
    if (this.turnsByUrgency < TURNS_BY_URGENCY) return this.lines.firstTasks();
    const ageOf = ([, {pollCount}, urgency]: [object, WaitingTask, number]) =>
      urgency === UNDER_WAY ? UNDER_WAY : pollCount;
    return [...this.lines.firstTasks()].sort((left, right) =>
      compareNumbers(ageOf(left), ageOf(right)),
    );
  }

  private recordTurn(urgency: number): void {
    if (urgency === UNDER_WAY) return;
    this.turnsByUrgency =
      this.turnsByUrgency < TURNS_BY_URGENCY ? this.turnsByUrgency + 1 : 0;
    this.pace.recordTurn(this.lines.some(isCounted));
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

/** Compares for a sort; a difference of infinities would not be a number. */
function compareNumbers(left: number, right: number): number {
  return Number(left > right) - Number(left < right);
}

/** Whether others wait for the turn of a task. */
function isCounted({isWanted}: WaitingTask, urgency: number): boolean {
  return urgency !== UNDER_WAY && isWanted();
}

/** The queue of this thread's event loop. */
export const turnQueue = new TurnQueue();
