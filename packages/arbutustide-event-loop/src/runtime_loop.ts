import {performance as runtimePerformance} from 'node:perf_hooks';

/** What the runtime tells of its event loop. */
export interface LoopMeasurements {
  /** Number of polls for input so far. */
  readonly pollCount: number;
  /** Time spent waiting for input so far, in milliseconds. */
  readonly idleMilliseconds: number;
}

/** The event loop of a thread. */
export interface EventLoop {
  measure(): LoopMeasurements;
  /** Calls the listener in each turn, after the poll for input. */
  onPolled(listener: () => void): void;
  /** Calls back after the next poll for input, which does not wait. */
  afterPoll(callback: () => void): void;
}

// The loop turns on while a test has replaced the global function.
const scheduleImmediate = setImmediate;

/** The event loop of this thread. */
export const RUNTIME_LOOP: EventLoop = {
  measure: () => {
    const {uvMetricsInfo, idleTime} = runtimePerformance.nodeTiming;
    return {pollCount: uvMetricsInfo.loopCount, idleMilliseconds: idleTime};
  },
  onPolled: listener => {
    // An immediate without reference runs in each turn and begins none.
    const schedule = () => scheduleImmediate(notify).unref();
    const notify = () => {
      schedule();
      listener();
    };
    schedule();
  },
  afterPoll: callback => {
    scheduleImmediate(callback);
  },
};
