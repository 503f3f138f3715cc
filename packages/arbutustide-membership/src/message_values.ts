/**
 * Whether two messages, or values in them, are equal. It compares what they
 * hold: going through their descriptors takes longer than all else that a node
 * does to publish a value that has not changed.
 */
export function isSameMessageValue(left: unknown, right: unknown): boolean {
  if (Object.is(left, right)) return true;
  if (!isObject(left) || !isObject(right)) return false;
  if (left instanceof Uint8Array && right instanceof Uint8Array)
    return areSameBytes(left, right);
  const names = Object.keys(left);
  if (names.length !== Object.keys(right).length) return false;
  return names.every(
    name =>
      Object.hasOwn(right, name) && isSameMessageValue(left[name], right[name]),
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function areSameBytes(left: Uint8Array, right: Uint8Array): boolean {
  return (
    left.length === right.length &&
    left.every((byte, index) => byte === right[index])
  );
}
