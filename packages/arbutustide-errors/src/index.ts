/** Error kinds, refusals, assertions, cancellation and delays. */
export type {AnswerTableRow} from './answer_table.js';
export type {CancelListener} from './cancellation.js';
export type {ClockReading} from './clock_reading.js';
export type {RefusalAnswer, RefusalBody} from './refusal_answer.js';
export type {RefusalOverrides} from './refusal_error.js';

export {ANSWER_TABLE} from './answer_table.js';
export {Cancellation} from './cancellation.js';
export {clockDriftMilliseconds, readClocks} from './clock_reading.js';
export {delay} from './delay.js';
export {ErrorKind, ExecutionStatus, RetryAdvice} from './error_kind.js';
export {invariant, InvariantError} from './invariant.js';
export {createRefusalAnswer} from './refusal_answer.js';
export {RefusalError} from './refusal_error.js';
export {createStoppingRefusal} from './stopping_refusal.js';
export {SuspensionDetector} from './suspension_detector.js';
export {createBusyRefusal} from './busy_refusal.js';
