import type {SignalledNode} from './node_lifecycle.js';

import {setImmediate} from 'node:timers/promises';

import {startNode} from '@arbutustide/node';
import {startPlatformNode} from '@arbutustide/platform';
import {formatSettings, loadSettings} from '@arbutustide/settings';

import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {exitProcess} from './exit_process.js';
import {logUnhandledRejections} from './log_unhandled_rejections.js';
import {NodeLifecycle} from './node_lifecycle.js';
import {processSignals} from './process_signals.js';

/** `settings check FILE`: prints the effective settings. */
export function checkSettingsCommand(file: string): void {
  const settings = loadSettings(file);
  if (!settings.ok) {
    throw new CommandError(ExitCode.INVALID_DOCUMENT, settings.val.message);
  }
  process.stdout.write(`${formatSettings(settings.val)}\n`);
}

/**
 * `node --settings FILE`: runs a node until SIGTERM or SIGINT, which drains it.
 * SIGINT exits without draining a node that stops already.
 */
export async function runNodeCommand(options: {
  readonly settings: string;
}): Promise<void> {
  const settings = loadSettings(options.settings);
  if (!settings.ok) {
    throw new CommandError(ExitCode.INVALID_DOCUMENT, settings.val.message);
  }
  await runUntilStopped(() => startNode(settings.val));
}

/**
 * `platform-node`: runs a node with the settings file that the environment
 * names, until SIGTERM drains it. SIGHUP reloads the configuration.
 */
export async function runPlatformNodeCommand(): Promise<void> {
  await runUntilStopped(async () => {
    const node = await startPlatformNode();
    logUnhandledRejections(node.logger, process);
    return node;
  });
}

async function runUntilStopped(
  start: () => Promise<SignalledNode>,
): Promise<void> {
  const lifecycle = new NodeLifecycle(exitCode => void exitProcess(exitCode));
  processSignals?.handleWith(signal => lifecycle.receive(signal));
  // Signals that came while the modules were evaluated are emitted in this turn.
  await setImmediate();
  await lifecycle.run(start);
}
