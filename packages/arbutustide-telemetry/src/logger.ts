import Logger from 'bunyan';

import {BoundedLineWriter, standardOutputSink} from './bounded_line_writer.js';

/** Holds the lines that a busy node logs in a few seconds. */
const MAXIMUM_PENDING_BYTES = 1_048_576;
/** A reader of the log does not notice this delay of a line. */
const WRITE_PAUSE_MILLISECONDS = 250;

/** All loggers of the process write to standard output through it. */
const standardOutput = new BoundedLineWriter(
  standardOutputSink,
  MAXIMUM_PENDING_BYTES,
  WRITE_PAUSE_MILLISECONDS,
);

/** Structured logger that writes one JSON object per line. */
export type NodeLogger = Logger;

/** Lowest severity that a node logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/**
 * Creates the logger of a process, which writes to standard output. Never log
 * request bodies, keys or tokens.
 */
export function createLogger(name: string, level: LogLevel): NodeLogger {
  return Logger.createLogger({
    name,
    level,
    streams: [{type: 'stream', level, stream: standardOutput as never}],
  });
}

/**
 * Waits until all that was logged is written, for a limited time. Call it before
 * the process ends: lines are written asynchronously.
 *
 * @return false if lines still wait, as the reader of the output is stalled.
 */
export function flushLog(timeoutMilliseconds: number): Promise<boolean> {
  return standardOutput.flush(timeoutMilliseconds);
}

/** Creates a logger that writes nothing, for tests. */
export function silentLogger(): NodeLogger {
  return Logger.createLogger({name: 'silent', streams: []});
}
