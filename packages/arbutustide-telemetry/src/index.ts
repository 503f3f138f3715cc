/** Structured logs and Prometheus metrics. */
export type {ByteSink, LineCounts} from './bounded_line_writer.js';
export type {LogLevel, NodeLogger} from './logger.js';

export {BoundedLineWriter} from './bounded_line_writer.js';
export {createLogger, flushLog, silentLogger} from './logger.js';
export {NodeMetrics} from './metrics.js';
