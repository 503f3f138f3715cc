import type {EventLoop, LoopMeasurements} from '../../runtime_loop.js';

import {install} from '@sinonjs/fake-timers';

/** An event loop whose turns and time a test advances. */
export class SimulatedLoop implements EventLoop {
  private readonly clock = install({toFake: ['performance']});
  private pollCount = 0;
  private idleMilliseconds = 0;
  private listener = () => {};
  private callbacks: (() => void)[] = [];

  measure(): LoopMeasurements {
    const {pollCount, idleMilliseconds} = this;
    return {pollCount, idleMilliseconds};
  }

  onPolled(listener: () => void): void {
    this.listener = listener;
  }

  afterPoll(callback: () => void): void {
    this.callbacks.push(callback);
  }

  /** Begins a turn with a wait for input. */
  poll(idleMilliseconds = 0): void {
    this.pollCount += 1;
    this.idleMilliseconds += idleMilliseconds;
    this.run(idleMilliseconds);
  }

  /** Lets code run for a time. */
  run(milliseconds: number): void {
    this.clock.tick(milliseconds);
  }

  /** Ends the poll of a turn. */
  endPoll(): void {
    this.listener();
    for (const callback of this.callbacks.splice(0)) callback();
  }

  uninstall(): void {
    this.clock.uninstall();
  }
}
