/** A TOML document is invalid; the message is meant for the operator. */
export class DocumentError extends Error {
  constructor(
    readonly file: string,
    /** One line per problem: the key, its value and what is allowed. */
    readonly problems: readonly string[],
  ) {
    super(problems.map(problem => `${file}: ${problem}`).join('\n'));
    this.name = 'DocumentError';
  }
}
