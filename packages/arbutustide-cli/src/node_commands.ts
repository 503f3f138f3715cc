import {startNode} from '@arbutustide/node';
import {startPlatformNode} from '@arbutustide/platform';
import {formatSettings, loadSettings} from '@arbutustide/settings';

import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';
import {exitProcess} from './exit_process.js';
import {logUnhandledRejections} from './log_unhandled_rejections.js';

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
 * A second signal exits without draining.
 */
export async function runNodeCommand(options: {
  readonly settings: string;
}): Promise<void> {
  const settings = loadSettings(options.settings);
  if (!settings.ok) {
    throw new CommandError(ExitCode.INVALID_DOCUMENT, settings.val.message);
  }
  const node = await startNode(settings.val);
  let isStopping = false;
  const stop = (signal: string) => {
    if (isStopping) {
      node.logger.warn(
        {signal},
        'exiting without draining after a second stop signal',
      );
      void exitProcess(ExitCode.INTERNAL);
      return;
    }
    isStopping = true;
    void node.stop().then(() => exitProcess(ExitCode.SUCCESS));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

/**
 * `platform-node`: runs a node with the settings file that the environment
 * names, until SIGTERM drains it. SIGHUP reloads the configuration.
 */
export async function runPlatformNodeCommand(): Promise<void> {
  const node = await startPlatformNode();
  logUnhandledRejections(node.logger, process);
  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void node.stop().then(() => exitProcess(ExitCode.SUCCESS));
  });
  process.on('SIGHUP', () => node.reload());
}
