// Evaluated first, so that no signal meets a process without handlers.
import {isLongRunning} from './process_signals.js';

import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {exitProcess} from './exit_process.js';
import {createProgram} from './program.js';

async function main(): Promise<void> {
  let exitCode = ExitCode.SUCCESS;
  try {
    await createProgram().parseAsync();
    if (isLongRunning) return;
  } catch (error) {
    exitCode = reportError(error);
  }
  process.stdout.write('', () => void exitProcess(exitCode));
}

/** Prints an error to standard error; commander has printed its own already. */
function reportError(error: unknown): ExitCode {
  if (error instanceof CommandError) {
    process.stderr.write(`arbutustide: ${error.message}\n`);
    return error.exitCode;
  }
  const {code, exitCode} = error as {code?: string; exitCode?: number};
  if (code?.startsWith('commander.')) {
    return exitCode === 0 ? ExitCode.SUCCESS : ExitCode.USAGE;
  }
  process.stderr.write(`arbutustide: ${String(error)}\n`);
  return ExitCode.INTERNAL;
}

void main();
