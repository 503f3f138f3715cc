import Logger from 'bunyan';

/** Structured logger; one JSON object a line on standard output. */
export type NodeLogger = Logger;

/** Levels in which a node logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/**
 * Creates the logger of one process. Bodies, keys and tokens are never passed
 * to it.
 */
export function createLogger(name: string, level: LogLevel): NodeLogger {
  return Logger.createLogger({name, level});
}

/** A logger that writes nothing, for tests. */
export function silentLogger(): NodeLogger {
  return Logger.createLogger({name: 'silent', streams: []});
}
