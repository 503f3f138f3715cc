import type {Command} from 'commander';

/** Generates the bash completion script from the commands of the program. */
export function formatBashCompletion(program: Command): string {
  const cases = program.commands
    .filter(command => command.commands.length > 0)
    .map(
      command =>
        `    ${command.name()}) words="${subcommandNames(command)}" ;;`,
    );
  return [
    '_arbutustide() {',
    '  local words',
    '  case "${COMP_WORDS[1]}" in',
    ...cases,
    `    *) words="${subcommandNames(program)}" ;;`,
    '  esac',
    '  [ "$COMP_CWORD" -le 1 ] && ' + `words="${subcommandNames(program)}"`,
    '  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    '}',
    'complete -o default -F _arbutustide arbutustide',
    '',
  ].join('\n');
}

function subcommandNames(command: Command): string {
  return command.commands.map(subcommand => subcommand.name()).join(' ');
}
