/** Thrown when the program's own assumptions are broken. */
export class InvariantError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'InvariantError';
  }
}

/**
 * Asserts a condition that holds unless the program itself is wrong.
 *
 * @param message names the values that broke the condition.
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
