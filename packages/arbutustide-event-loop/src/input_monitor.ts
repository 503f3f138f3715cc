import type {EventLoop, LoopMeasurements} from './runtime_loop.js';

import {RUNTIME_LOOP} from './runtime_loop.js';

/** One turn of the event loop, from the end of a poll for input to the next. */
export interface LoopTurn {
  /** Time in which the loop read no input, in milliseconds. */
  readonly activeMilliseconds: number;
}

/** A shorter wait may have found input that had already arrived. */
const MINIMUM_IDLE_MILLISECONDS = 1;

/**
 * Measures the turns of the event loop, to tell when input that is read now
 * can have arrived.
 */
export class InputMonitor {
  private readonly listeners = new Set<(turn: LoopTurn) => void>();
  private polledAtMilliseconds = performance.now();
  private atLastPoll: LoopMeasurements;
  /** What had arrived by then has been read. */
  private readUntilMilliseconds = this.polledAtMilliseconds;
  /** Connections that were opened by then have been accepted. */
  private acceptedUntilMilliseconds = this.polledAtMilliseconds;
  private hasAccepted = false;

  constructor(private readonly loop: EventLoop = RUNTIME_LOOP) {
    this.atLastPoll = loop.measure();
    loop.onPolled(() => this.recordPoll());
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
    const isPolled = measured.pollCount !== this.atLastPoll.pollCount;
    const idle = this.idleSinceLastPoll(measured);
    return isPolled && idle >= MINIMUM_IDLE_MILLISECONDS
      ? this.polledAtMilliseconds + idle
      : undefined;
  }

  private recordPoll(): void {
    const measured = this.loop.measure();
    if (measured.pollCount === this.atLastPoll.pollCount) return;
    const now = performance.now();
    const idle = this.idleSinceLastPoll(measured);
    const activeMilliseconds = now - this.polledAtMilliseconds - idle;
    this.readUntilMilliseconds = this.polledAtMilliseconds + idle;
    if (!this.hasAccepted || idle >= MINIMUM_IDLE_MILLISECONDS)
      this.acceptedUntilMilliseconds = this.readUntilMilliseconds;
    this.hasAccepted = false;
    this.polledAtMilliseconds = now;
    this.atLastPoll = measured;
    for (const listener of this.listeners) listener({activeMilliseconds});
  }

  private idleSinceLastPoll({idleMilliseconds}: LoopMeasurements): number {
    return idleMilliseconds - this.atLastPoll.idleMilliseconds;
  }
}

/** The monitor of this thread's event loop. */
export const inputMonitor = new InputMonitor();
