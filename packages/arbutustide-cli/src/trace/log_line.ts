/** A parsed log line of a node. */
export interface LogLine {
  readonly node: string;
  /** Unix time, in milliseconds. */
  readonly atMilliseconds: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields of every log line, which `LogLine.fields` leaves out. */
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
 * Parses a log line; undefined if it is not a complete log line of a node.
 * Ignores a prefix before the JSON object, such as the time and host that a log
 * collector adds.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const objectStart = text.indexOf('{');
  if (objectStart < 0) return undefined;
  const value = parseObject(text.slice(objectStart));
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
    // A truncated line, or a line of another program.
    return undefined;
  }
}
