/** A TOML document that cannot be accepted, told to an operator. */
export class DocumentError extends Error {
  constructor(
    /** File the document came from. */
    readonly file: string,
    /** One line each: key, value and what is allowed. */
    readonly problems: readonly string[],
  ) {
    super(problems.map(problem => `${file}: ${problem}`).join('\n'));
    this.name = 'DocumentError';
  }
}
