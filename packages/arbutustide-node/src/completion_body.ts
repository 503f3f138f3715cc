import type {Result} from 'ts-results';

import {createHash} from 'node:crypto';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** Characters of the prompt that decide where its prefix may be cached. */
const PROMPT_PREFIX_CHARACTERS = 512;

/** A completion request as far as the entry reads it. */
export interface CompletionBody {
  readonly model: string;
  readonly isStream: boolean;
  /** Digest of the prompt's beginning; undefined for a short prompt. */
  readonly prefixDigest: string | undefined;
  /** The same request for a replica that has another name for the model. */
  readonly serializeWithModel: (item: string) => Buffer;
}

/** Reads the body of a chat or text completion. */
export function parseCompletionBody(
  body: Buffer,
): Result<CompletionBody, RefusalError> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    return invalidBody(`the body is not JSON: ${(error as Error).message}`);
  }
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return invalidBody('the body must be a JSON object');
  }
  const {model, stream = false} = value as {model?: unknown; stream?: unknown};
  if (typeof model !== 'string' || model === '') {
    return invalidBody('"model" must be the name of a catalogue entry');
  }
  if (typeof stream !== 'boolean')
    return invalidBody('"stream" must be a boolean');
  return Ok({
    model,
    isStream: stream,
    prefixDigest: digestPromptPrefix(value),
    serializeWithModel: item =>
      Buffer.from(JSON.stringify({...value, model: item})),
  });
}

function invalidBody(message: string): Result<CompletionBody, RefusalError> {
  return Err(new RefusalError(ErrorKind.BAD_REQUEST, message));
}

function digestPromptPrefix(value: object): string | undefined {
  const {messages, prompt} = value as {messages?: unknown; prompt?: unknown};
  const text =
    typeof prompt === 'string' ? prompt : JSON.stringify(messages ?? '');
  if (text.length < PROMPT_PREFIX_CHARACTERS) return undefined;
  const prefix = text.slice(0, PROMPT_PREFIX_CHARACTERS);
  return createHash('sha1').update(prefix).digest('hex');
}
