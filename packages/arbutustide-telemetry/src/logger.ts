import Logger from 'bunyan';

import {BoundedLineWriter, standardOutputSink} from './bounded_line_writer.js';

/** Lines that may wait for a slow reader; some seconds of a busy node. */
const MAXIMUM_PENDING_BYTES = 1_048_576;

/** Structured logger; one JSON object a line on standard output. */
export type NodeLogger = Logger;

/** Levels in which a node logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/**
 * Creates the logger of one process. Bodies, keys and tokens are never passed
 * to it.
 */
export function createLogger(name: string, level: LogLevel): NodeLogger {
  const writer = new BoundedLineWriter(
    standardOutputSink,
    MAXIMUM_PENDING_BYTES,
  );
  return Logger.createLogger({
    name,
    level,
    streams: [{type: 'stream', level, stream: writer as never}],
  });
}

/** A logger that writes nothing, for tests. */
export function silentLogger(): NodeLogger {
  return Logger.createLogger({name: 'silent', streams: []});
}
