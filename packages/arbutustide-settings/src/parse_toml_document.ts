import type {Result} from 'ts-results';

import {closest} from 'fastest-levenshtein';
import {parse, TomlError} from 'smol-toml';
import {Err, Ok} from 'ts-results';
import {z} from 'zod';

import {DocumentError} from './document_error.js';
import {camelToSnake, renameKeys, snakeToCamel} from './key_case.js';

/**
 * Parses a TOML document with snake_case keys and validates it against a schema
 * with camelCase keys.
 *
 * @param file name shown in errors.
 * @return the value with defaults filled in, or all problems of the document.
 */
export function parseTomlDocument<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): Result<T, DocumentError> {
  let raw: unknown;
  try {
    raw = renameKeys(parse(text), snakeToCamel);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const position = `line ${error.line}, column ${error.column}`;
    const reason = error.message.split('\n')[0];
    return Err(new DocumentError(file, [`${position}: ${reason}`]));
  }
  const validated = schema.safeParse(raw);
  if (validated.success) return Ok(validated.data);
  const problems = validated.error.issues.flatMap(issue =>
    describeIssue(issue, raw, schema),
  );
  return Err(new DocumentError(file, problems));
}

function describeIssue(
  issue: z.core.$ZodIssue,
  raw: unknown,
  schema: z.ZodType,
): string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => describeUnknownKey(issue.path, key, schema));
  }
  const value = JSON.stringify(getValueAtPath(raw, issue.path)) ?? 'nothing';
  return [`${formatKeyPath(issue.path)} = ${value}: ${issue.message}`];
}

function describeUnknownKey(
  path: readonly PropertyKey[],
  key: string,
  schema: z.ZodType,
): string {
  const knownKeys = findKnownKeys(schema, path).map(camelToSnake);
  const nearest =
    knownKeys.length > 0
      ? `; the nearest known key is ${closest(camelToSnake(key), knownKeys)}`
      : '';
  return `${formatKeyPath([...path, key])}: unknown key${nearest}`;
}

/** The keys that the schema allows in the object at a path; empty if none. */
function findKnownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  let current: unknown = schema;
  for (const segment of path) {
    const inner = unwrapSchema(current);
    if (inner instanceof z.ZodObject) {
      current = (inner.shape as Record<PropertyKey, unknown>)[segment];
    } else if (inner instanceof z.ZodArray) {
      current = inner.element;
    } else {
      return [];
    }
  }
  const inner = unwrapSchema(current);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

/** Removes the wrappers for optional values and defaults from a schema. */
function unwrapSchema(schema: unknown): unknown {
  let current = schema;
  while (
    current instanceof z.ZodOptional ||
    current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault
  ) {
    current = current.unwrap();
  }
  return current;
}

function getValueAtPath(raw: unknown, path: readonly PropertyKey[]): unknown {
  let current = raw;
  for (const segment of path) {
    if (current === null || typeof current !== 'object') return undefined;
    current = (current as Record<PropertyKey, unknown>)[segment];
  }
  return current;
}

/** Formats a path as in the TOML document, for example `routes[2].path`. */
function formatKeyPath(path: readonly PropertyKey[]): string {
  return path
    .map(segment =>
      typeof segment === 'number'
        ? `[${segment}]`
        : camelToSnake(String(segment)),
    )
    .join('.')
    .replaceAll('.[', '[');
}
