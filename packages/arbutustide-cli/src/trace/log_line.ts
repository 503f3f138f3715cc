/** One line of a node's log. */
export interface LogLine {
  readonly node: string;
  /** Unix time, in milliseconds. */
  readonly atMilliseconds: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has, besides its own. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'msg',
  'time',
  'v',
]);

/**
 * Reads a line; undefined for one that is not of a node. What stands before the
 * JSON object, such as the time and host of a collector, is passed over.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf('{');
  if (begin < 0) return undefined;
  const value = parseObject(text.slice(begin));
  const {name, msg, time} = value ?? {};
  const atMilliseconds = Date.parse(String(time));
  if (typeof msg !== 'string' || Number.isNaN(atMilliseconds)) return undefined;
  const fields = Object.entries(value ?? {}).filter(
    ([key]) => !COMMON_FIELDS.has(key),
  );
  return {
    node: String(name),
    atMilliseconds,
    message: msg,
    fields: Object.fromEntries(fields),
  };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    // A line that was cut, or of another program.
    return undefined;
  }
}
