import type {ExitCode} from './exit_code.js';

import {flushLog} from '@arbutustide/telemetry';

/** Less than what a stop leaves of the grace period. */
const FLUSH_MILLISECONDS = 200;

/** Ends the process once what it has logged is written. */
export async function exitProcess(exitCode: ExitCode): Promise<void> {
  const isFlushed = await flushLog(FLUSH_MILLISECONDS);
  // The runtime's exit waits for a write that the log's reader holds up.
  if (!isFlushed) process.kill(process.pid, 'SIGKILL');
  process.exit(exitCode);
}
