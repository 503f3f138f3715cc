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

/** Creates the command line with all commands and options. */
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
      .description(
        'show the state of the catalogue, nodes, planner and workers',
      )
      .action(statusCommand),
  );
  program.addCommand(
    addPlatformOptions(new Command('explain'))
      .description(
        'show where an entry is available and how requests to it are routed',
      )
      .argument('<entry>')
      .option('--node <url>', "control URL of a node, to show this node's view")
      .action(explainCommand),
  );
  program.addCommand(
    addPlatformOptions(new Command('moves'))
      .description('list the latest orders of the planner')
      .requiredOption('--region <name>', 'region of the planner')
      .option('--limit <number>', 'newest moves shown', '50')
      .action(listMovesCommand),
  );
  program
    .command('trace')
    .description(
      'show the log lines of one request and the cause of its outcome',
    )
    .argument('<request-id>')
    .argument('<file...>', 'log files of one or more nodes, as written')
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

/** Makes every command throw instead of exit; `main` sets the exit code. */
function overrideExit(command: Command): void {
  command.exitOverride();
  for (const subcommand of command.commands) overrideExit(subcommand);
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
    addSubcommand(
      'rollback',
      'accept the content of an earlier revision as the next one',
    ),
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
  addSubcommand('show', 'show the recorded state of a request').action(
    showClaimCommand,
  );
  addSubcommand('resolve', 'record whether a request that may have run did run')
    .addOption(
      new Option('--as <resolution>', 'whether the request ran')
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
      new Option('--output <format>', 'format of the result')
        .choices(Object.values(OutputFormat))
        .default(OutputFormat.TABLE),
    );
}

function addCatalogueWriteOptions(command: Command): Command {
  return command
    .option('--author <name>', 'author of the edit; the login name by default')
    .option(
      '--write-id <id>',
      'write id of an earlier attempt whose outcome is unknown',
    )
    .option(
      '--wait [milliseconds]',
      'wait until it is in force on all nodes (16000 ms by default)',
    );
}
