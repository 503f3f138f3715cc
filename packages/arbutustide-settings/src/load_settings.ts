import type {Result} from 'ts-results';

import type {Settings} from './settings_schema.js';

import {readFileSync} from 'node:fs';

import {stringify} from 'smol-toml';
import {Err} from 'ts-results';

import {DocumentError} from './document_error.js';
import {camelToSnake, renameKeys} from './key_case.js';
import {parseTomlDocument} from './parse_toml_document.js';
import {settingsSchema} from './settings_schema.js';

/** Reads and validates a settings file. */
export function loadSettings(file: string): Result<Settings, DocumentError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return Err(new DocumentError(file, [`cannot be read: ${reason}`]));
  }
  return parseSettings(text, file);
}

/**
 * Validates the text of a settings file.
 *
 * @param file name shown in errors.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, DocumentError> {
  return parseTomlDocument(text, file, settingsSchema);
}

/** Formats the effective settings, including defaults, as TOML. */
export function formatSettings(settings: Settings): string {
  return formatTomlDocument(settings);
}

/** Formats an object with camelCase keys as TOML with snake_case keys. */
export function formatTomlDocument(value: object): string {
  return stringify(renameKeys(value, camelToSnake) as object);
}
