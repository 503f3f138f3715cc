import type {InputMonitor} from '@arbutustide/event-loop';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';

/** Turns of the event loop that are longer than this are counted and logged. */
const LONG_TURN_MILLISECONDS = 250;
/** Least time between two log lines. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Where long turns are recorded. */
export interface LongTurnRecords {
  readonly logger: NodeLogger;
  readonly metrics: NodeMetrics;
}

/**
 * Records the turns of the event loop in which it read no input for long.
 *
 * @return stops recording.
 */
export function recordLongTurns(
  monitor: InputMonitor,
  {logger, metrics}: LongTurnRecords,
): () => void {
  let loggedAtMilliseconds = -Infinity;
  let unloggedMilliseconds = 0;
  return monitor.onTurn(({activeMilliseconds}) => {
    if (activeMilliseconds < LONG_TURN_MILLISECONDS) return;
    metrics.loopBlockedSeconds.inc(
      activeMilliseconds / MILLISECONDS_PER_SECOND,
    );
    unloggedMilliseconds += activeMilliseconds;
    const now = performance.now();
    if (now - loggedAtMilliseconds < LOG_INTERVAL_MILLISECONDS) return;
    logger.warn(
      {blockedMilliseconds: Math.round(unloggedMilliseconds)},
      'no input was read',
    );
    loggedAtMilliseconds = now;
    unloggedMilliseconds = 0;
  });
}
