import type {EventLoop} from './runtime_loop.js';

import {RUNTIME_LOOP} from './runtime_loop.js';

/** One turn of the event loop, from the end of a poll for input to the next. */
export interface LoopTurn {
  /** Number of the poll that ended it. */
  readonly pollCount: number;
  /** When that poll ended, by the monotonic clock, in milliseconds. */
  readonly polledAtMilliseconds: number;
  /** Whether that poll accepted a connection; more may wait. */
  readonly hasAccepted: boolean;
  /** Time in which the loop read no input, in milliseconds. */
  readonly activeMilliseconds: number;
}

/** In a longer turn the loop is late to read its input. */
const PROMPT_TURN_MILLISECONDS = 50;
/** A shorter wait may have found input that had already arrived. */
const MINIMUM_IDLE_MILLISECONDS = 1;

/**
 * Measures the turns of the event loop, to tell when input that is read now
 * can have arrived.
 */
export class InputMonitor {
  private readonly listeners = new Set<(turn: LoopTurn) => void>();
  private turn: LoopTurn;
  private idleAtPoll: number;
  /** What had arrived by then has been read. */
  private readUntilMilliseconds: number;
  /** Connections that were opened by then have been accepted. */
  private acceptedUntilMilliseconds: number;
  private hasAccepted = false;
  /** In the turns that have ended. */
  private pastLateMilliseconds = 0;

  constructor(private readonly loop: EventLoop = RUNTIME_LOOP) {
    const {pollCount, idleMilliseconds} = loop.measure();
    const now = performance.now();
    this.turn = {
      pollCount,
      polledAtMilliseconds: now,
      hasAccepted: false,
      activeMilliseconds: 0,
    };
    this.idleAtPoll = idleMilliseconds;
    this.readUntilMilliseconds = now;
    this.acceptedUntilMilliseconds = now;
    loop.onPolled(() => this.recordPoll());
  }

  /** Number of polls for input so far. */
  get pollCount(): number {
    return this.loop.measure().pollCount;
  }

  /** The turn that the latest poll has ended. Call it after that poll only. */
  get lastTurn(): LoopTurn {
    this.recordPoll();
    return this.turn;
  }

  /**
   * Time so far by which the loop was late to read input: what its turns took
   * beyond the length of a prompt one.
   */
  get lateMilliseconds(): number {
    const {pollCount, idleMilliseconds} = this.loop.measure();
    const {polledAtMilliseconds} = this.turn;
    const idle =
      pollCount === this.turn.pollCount
        ? 0
        : idleMilliseconds - this.idleAtPoll;
    const active = performance.now() - polledAtMilliseconds - idle;
    return this.pastLateMilliseconds + lateShare(active);
  }

  /**
   * Earliest time at which input can have arrived that is being read now. What
   * had arrived before was read in an earlier turn.
   */
  get arrivedAfterMilliseconds(): number {
    return this.waitEndMilliseconds ?? this.readUntilMilliseconds;
  }

  /**
   * Records that a connection is being accepted. The loop accepts one in each
   * turn, so that it may have waited for several turns.
   *
   * @return earliest time at which it can have been opened.
   */
  recordConnection(): number {
    const openedAfter =
      this.waitEndMilliseconds ?? this.acceptedUntilMilliseconds;
    this.hasAccepted = true;
    return openedAfter;
  }

  /** Calls a listener after each turn; returns a function that removes it. */
  onTurn(listener: (turn: LoopTurn) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * End of this turn's wait for input; undefined if it may have found input that
   * had already arrived.
   */
  private get waitEndMilliseconds(): number | undefined {
    const measured = this.loop.measure();
    const isPolled = measured.pollCount !== this.turn.pollCount;
    const idle = measured.idleMilliseconds - this.idleAtPoll;
    return isPolled && idle >= MINIMUM_IDLE_MILLISECONDS
      ? this.turn.polledAtMilliseconds + idle
      : undefined;
  }

  private recordPoll(): void {
    const {pollCount, idleMilliseconds} = this.loop.measure();
    if (pollCount === this.turn.pollCount) return;
    const now = performance.now();
    const {polledAtMilliseconds} = this.turn;
    const idle = idleMilliseconds - this.idleAtPoll;
    const {hasAccepted} = this;
    this.readUntilMilliseconds = polledAtMilliseconds + idle;
    if (!hasAccepted || idle >= MINIMUM_IDLE_MILLISECONDS)
      this.acceptedUntilMilliseconds = this.readUntilMilliseconds;
    this.turn = {
      pollCount,
      polledAtMilliseconds: now,
      hasAccepted,
      activeMilliseconds: now - polledAtMilliseconds - idle,
    };
    this.pastLateMilliseconds += lateShare(this.turn.activeMilliseconds);
    this.hasAccepted = false;
    this.idleAtPoll = idleMilliseconds;
    for (const listener of this.listeners) listener(this.turn);
  }
}

function lateShare(activeMilliseconds: number): number {
  return Math.max(0, activeMilliseconds - PROMPT_TURN_MILLISECONDS);
}

/** The monitor of this thread's event loop. */
export const inputMonitor = new InputMonitor();
