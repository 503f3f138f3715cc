import {SignalBuffer} from './signal_buffer.js';

/** Commands that return after their start and keep the process running. */
const LONG_RUNNING_COMMANDS: ReadonlySet<string> = new Set([
  'node',
  'platform-node',
]);

/** Whether the process runs a node until it is stopped. */
export const isLongRunning = LONG_RUNNING_COMMANDS.has(process.argv[2] ?? '');

/**
 * The signals that the process has received since this module was evaluated;
 * undefined for commands that a signal should end.
 */
export const processSignals = isLongRunning
  ? new SignalBuffer(process)
  : undefined;
