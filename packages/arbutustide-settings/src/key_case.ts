export function snakeToCamel(key: string): string {
  return key.replace(/_([a-z0-9])/g, (_match, letter: string) =>
    letter.toUpperCase(),
  );
}

export function camelToSnake(key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

/** Returns a copy with every key of nested objects and arrays renamed. */
export function renameKeys(
  value: unknown,
  rename: (key: string) => string,
): unknown {
  if (Array.isArray(value)) return value.map(item => renameKeys(item, rename));
  if (value === null || typeof value !== 'object') return value;
  if (value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      rename(key),
      renameKeys(item, rename),
    ]),
  );
}
