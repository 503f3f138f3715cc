/**
 * Deepest nesting of a stored value. `JSON.parse` accepts any, but functions that
 * recurse over a value, such as `JSON.stringify`, exhaust the stack.
 */
const MAXIMUM_DEPTH = 64;

/**
 * Returns the value, or undefined if it is nested too deeply to be passed on.
 * Undefined is no valid value of any kind of object.
 */
export function limitNesting(value: unknown): unknown {
  let level: unknown[] = [value];
  for (let depth = 0; depth <= MAXIMUM_DEPTH; depth += 1) {
    level = [...childrenOf(level)];
    if (level.length === 0) return value;
  }
  return undefined;
}

/** The members of the objects and arrays among the values. */
function* childrenOf(values: readonly unknown[]): Generator<unknown> {
  for (const value of values)
    if (typeof value === 'object' && value !== null)
      yield* Object.values(value);
}
