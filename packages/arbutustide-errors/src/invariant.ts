/** Thrown when an invariant does not hold, which is a bug in the program. */
export class InvariantError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'InvariantError';
  }
}

/**
 * Asserts a condition that can only be false because of a bug.
 *
 * @param message the violated invariant, with the values involved.
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
