import type {Result} from 'ts-results';

import {createHash} from 'node:crypto';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/**
 * Length of the prompt prefix that is hashed for prefix cache affinity. Shorter
 * prompts have no digest.
 */
const PROMPT_PREFIX_CHARACTERS = 512;

/** The fields of a completion request that routing needs. */
export interface CompletionBody {
  readonly model: string;
  readonly isStream: boolean;
  /**
   * Digest of the first 512 characters of the prompt; undefined for a shorter
   * prompt.
   */
  readonly prefixDigest: string | undefined;
  /**
   * Serializes the request with another value of `model`, for a replica that
   * knows the model under another item name.
   */
  readonly serializeWithModel: (item: string) => Buffer;
}

/**
 * Parses the JSON body of a chat or text completion request.
 *
 * @return the parsed body, or a `BAD_REQUEST` refusal.
 */
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
