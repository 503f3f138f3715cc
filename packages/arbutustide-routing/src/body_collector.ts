import type {AnswerBody, AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import {Ok} from 'ts-results';

/** Pieces read so far, and whether the body has ended. */
export interface CollectedBody {
  readonly chunks: readonly Uint8Array[];
  readonly lengthBytes: number;
  readonly isComplete: boolean;
}

/**
 * Reads a body to its checked end, or until it grows beyond the limit.
 *
 * @param limitBytes size from which on the rest is left to be relayed.
 */
export async function collectBody(
  body: AnswerBody,
  limitBytes: number,
): Promise<Result<CollectedBody, AttemptError>> {
  const chunks: Uint8Array[] = [];
  let lengthBytes = 0;
  while (lengthBytes <= limitBytes) {
    const chunk = await body.read();
    if (!chunk.ok) return chunk;
    if (chunk.val === undefined) {
      return Ok({chunks, lengthBytes, isComplete: true});
    }
    chunks.push(chunk.val);
    lengthBytes += chunk.val.length;
  }
  return Ok({chunks, lengthBytes, isComplete: false});
}
