import Logger from 'bunyan';

import {BoundedLineWriter, standardOutputSink} from './bounded_line_writer.js';

/** Holds the lines that a busy node logs in a few seconds. */
const MAXIMUM_PENDING_BYTES = 1_048_576;

/** Structured logger that writes one JSON object per line. */
export type NodeLogger = Logger;

/** Lowest severity that a node logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/**
 * Creates the logger of a process, which writes to standard output. Never log
 * request bodies, keys or tokens.
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

/** Creates a logger that writes nothing, for tests. */
export function silentLogger(): NodeLogger {
  return Logger.createLogger({name: 'silent', streams: []});
}
