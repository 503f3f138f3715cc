/** Structured logs and Prometheus metrics. */
export type {LogLevel, NodeLogger} from './logger.js';

export {createLogger, silentLogger} from './logger.js';
export {NodeMetrics} from './metrics.js';
