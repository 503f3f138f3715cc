/** How far the event loop is behind its input. */
export type {EventLoop, LoopMeasurements} from './runtime_loop.js';
export type {LoopTurn} from './input_monitor.js';

export {ArrivalTimes} from './arrival_times.js';
export {InputMonitor, inputMonitor} from './input_monitor.js';
export {ResponseTimeout} from './response_timeout.js';
export {settleWithin} from './settle_within.js';
export {TurnQueue, turnQueue} from './turn_queue.js';
