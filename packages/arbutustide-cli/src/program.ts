import {Command, Option} from 'commander';

import {
  applyCommand,
  diffCommand,
  getCommand,
  historyCommand,
  rollbackCommand,
  validateCommand,
} from './catalogue_commands.js';
import {
  Resolution,
  resolveClaimCommand,
  showClaimCommand,
} from './claim_commands.js';
import {completionScript} from './completion.js';
import {
  checkSettingsCommand,
  nodeCommand,
  platformNodeCommand,
} from './node_commands.js';
import {OutputFormat} from './output.js';
import {
  explainCommand,
  movesCommand,
  statusCommand,
} from './status_commands.js';
import {traceCommand} from './trace/trace_command.js';
import {VERSION} from './version.js';

/** The whole command line. */
export function createProgram(): Command {
  const program = new Command('arbutustide')
    .description('Serves many models on fewer accelerators.')
    .version(VERSION)
    .showHelpAfterError()
    .configureHelp({showGlobalOptions: true});
  program
    .command('node')
    .description('run a node on this entry host')
    .requiredOption('--settings <file>', 'settings in TOML')
    .action(nodeCommand);
  program
    .command('platform-node')
    .description("run a node on the users' platform")
    .action(platformNodeCommand);
  program.addCommand(settingsCommands());
  program.addCommand(catalogueCommands());
  program.addCommand(claimsCommands());
  program.addCommand(
    withPlatform(new Command('status'))
      .description('catalogue, nodes, planner and workers')
      .action(statusCommand),
  );
  program.addCommand(
    withPlatform(new Command('explain'))
      .description('where an entry is, and why a request would go where')
      .argument('<entry>')
      .option('--node <url>', "a node's control address, for its own view")
      .action(explainCommand),
  );
  program.addCommand(
    withPlatform(new Command('moves'))
      .description('the latest orders of the planner')
      .requiredOption('--region <name>', 'region of the planner')
      .option('--limit <number>', 'newest moves shown', '50')
      .action(movesCommand),
  );
  program
    .command('trace')
    .description("one request's story and its cause, from nodes' logs")
    .argument('<request-id>')
    .argument('<file...>', 'logs of one or more nodes, as they were written')
    .action(traceCommand);
  program
    .command('completion')
    .description('print a completion script for bash')
    .action(() => {
      process.stdout.write(completionScript(program));
    });
  throwOnExit(program);
  return program;
}

/** Lets the caller decide the exit code, in every command. */
function throwOnExit(command: Command): void {
  command.exitOverride();
  for (const sub of command.commands) throwOnExit(sub);
}

function settingsCommands(): Command {
  const settings = new Command('settings').description('settings of a node');
  settings
    .command('check')
    .description('check a file and print the effective settings')
    .argument('<file>')
    .action(checkSettingsCommand);
  return settings;
}

function catalogueCommands(): Command {
  const catalogue = new Command('catalogue').description('the catalogue');
  const add = (name: string, description: string) => {
    const command = withPlatform(new Command(name)).description(description);
    catalogue.addCommand(command);
    return command;
  };
  add('validate', 'check a file').argument('<file>').action(validateCommand);
  add('diff', 'compare a file with the accepted catalogue')
    .argument('<file>')
    .action(diffCommand);
  add('get', 'print the accepted catalogue, or an earlier revision')
    .argument('[revision]')
    .action(getCommand);
  add('history', 'list revisions, newest first')
    .option('--limit <number>', 'revisions shown', '20')
    .action(historyCommand);
  withApply(add('apply', 'accept a file as the next revision'))
    .argument('<file>')
    .option('--base <revision>', 'revision the edit starts from')
    .action(applyCommand);
  withApply(add('rollback', 'accept the content of an earlier revision anew'))
    .argument('<revision>')
    .action(rollbackCommand);
  return catalogue;
}

function claimsCommands(): Command {
  const claims = new Command('claims').description(
    'requests that carry an Idempotency-Key',
  );
  const add = (name: string, description: string) => {
    const command = withPlatform(new Command(name))
      .description(description)
      .argument('<caller>')
      .argument('<entry>')
      .argument('<key>');
    claims.addCommand(command);
    return command;
  };
  add('show', 'what is known of a request').action(showClaimCommand);
  add('resolve', 'settle a request that may have run')
    .addOption(
      new Option('--as <resolution>', 'what was found out')
        .choices(Object.values(Resolution))
        .makeOptionMandatory(),
    )
    .action(resolveClaimCommand);
  return claims;
}

function withPlatform(command: Command): Command {
  return command
    .addOption(
      new Option('--object-store <url>', 'the object API').env(
        'ARBUTUSTIDE_OBJECT_STORE',
      ),
    )
    .addOption(
      new Option('--host-list <url>', 'the host list').env(
        'ARBUTUSTIDE_HOST_LIST',
      ),
    )
    .addOption(
      new Option('--output <format>', 'form of the result')
        .choices(Object.values(OutputFormat))
        .default(OutputFormat.TABLE),
    );
}

function withApply(command: Command): Command {
  return command
    .option('--author <name>', 'who edits; the login name by default')
    .option('--write-id <id>', 'id of an earlier try whose outcome is unknown')
    .option(
      '--wait [milliseconds]',
      'wait until it is in force everywhere (16000 ms by default)',
    );
}
