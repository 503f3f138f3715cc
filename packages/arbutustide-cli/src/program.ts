import {Command, Option} from 'commander';

import {
  applyCatalogueCommand,
  diffCatalogueCommand,
  getCatalogueCommand,
  catalogueHistoryCommand,
  rollbackCatalogueCommand,
  validateCatalogueCommand,
} from './catalogue_commands.js';
import {
  ClaimResolution,
  resolveClaimCommand,
  showClaimCommand,
} from './claim_commands.js';
import {formatBashCompletion} from './completion.js';
import {
  checkSettingsCommand,
  runNodeCommand,
  runPlatformNodeCommand,
} from './node_commands.js';
import {OutputFormat} from './output.js';
import {
  explainCommand,
  listMovesCommand,
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
    .action(runNodeCommand);
  program
    .command('platform-node')
    .description("run a node on the users' platform")
    .action(runPlatformNodeCommand);
  program.addCommand(createSettingsCommand());
  program.addCommand(createCatalogueCommand());
  program.addCommand(createClaimsCommand());
  program.addCommand(
    addPlatformOptions(new Command('status'))
      .description('catalogue, nodes, planner and workers')
      .action(statusCommand),
  );
  program.addCommand(
    addPlatformOptions(new Command('explain'))
      .description('where an entry is, and why a request would go where')
      .argument('<entry>')
      .option('--node <url>', "a node's control address, for its own view")
      .action(explainCommand),
  );
  program.addCommand(
    addPlatformOptions(new Command('moves'))
      .description('the latest orders of the planner')
      .requiredOption('--region <name>', 'region of the planner')
      .option('--limit <number>', 'newest moves shown', '50')
      .action(listMovesCommand),
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
      process.stdout.write(formatBashCompletion(program));
    });
  overrideExit(program);
  return program;
}

/** Lets the caller decide the exit code, in every command. */
function overrideExit(command: Command): void {
  command.exitOverride();
  for (const sub of command.commands) overrideExit(sub);
}

function createSettingsCommand(): Command {
  const settings = new Command('settings').description('settings of a node');
  settings
    .command('check')
    .description('check a file and print the effective settings')
    .argument('<file>')
    .action(checkSettingsCommand);
  return settings;
}

function createCatalogueCommand(): Command {
  const catalogue = new Command('catalogue').description('the catalogue');
  const addSubcommand = (name: string, description: string) => {
    const command = addPlatformOptions(new Command(name)).description(
      description,
    );
    catalogue.addCommand(command);
    return command;
  };
  addSubcommand('validate', 'check a file')
    .argument('<file>')
    .action(validateCatalogueCommand);
  addSubcommand('diff', 'compare a file with the accepted catalogue')
    .argument('<file>')
    .action(diffCatalogueCommand);
  addSubcommand('get', 'print the accepted catalogue, or an earlier revision')
    .argument('[revision]')
    .action(getCatalogueCommand);
  addSubcommand('history', 'list revisions, newest first')
    .option('--limit <number>', 'revisions shown', '20')
    .action(catalogueHistoryCommand);
  addCatalogueWriteOptions(
    addSubcommand('apply', 'accept a file as the next revision'),
  )
    .argument('<file>')
    .option('--base <revision>', 'revision the edit starts from')
    .action(applyCatalogueCommand);
  addCatalogueWriteOptions(
    addSubcommand('rollback', 'accept the content of an earlier revision anew'),
  )
    .argument('<revision>')
    .action(rollbackCatalogueCommand);
  return catalogue;
}

function createClaimsCommand(): Command {
  const claims = new Command('claims').description(
    'requests that carry an Idempotency-Key',
  );
  const addSubcommand = (name: string, description: string) => {
    const command = addPlatformOptions(new Command(name))
      .description(description)
      .argument('<caller>')
      .argument('<entry>')
      .argument('<key>');
    claims.addCommand(command);
    return command;
  };
  addSubcommand('show', 'what is known of a request').action(showClaimCommand);
  addSubcommand('resolve', 'settle a request that may have run')
    .addOption(
      new Option('--as <resolution>', 'what was found out')
        .choices(Object.values(ClaimResolution))
        .makeOptionMandatory(),
    )
    .action(resolveClaimCommand);
  return claims;
}

function addPlatformOptions(command: Command): Command {
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

function addCatalogueWriteOptions(command: Command): Command {
  return command
    .option('--author <name>', 'who edits; the login name by default')
    .option('--write-id <id>', 'id of an earlier try whose outcome is unknown')
    .option(
      '--wait [milliseconds]',
      'wait until it is in force everywhere (16000 ms by default)',
    );
}
