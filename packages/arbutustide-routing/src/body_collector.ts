import type {AnswerBody, AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import {Ok} from 'ts-results';

/** Chunks read so far, and whether they are the complete body. */
export interface CollectedBody {
  readonly chunks: readonly Uint8Array[];
  readonly lengthBytes: number;
  readonly isComplete: boolean;
}

/**
 * Reads a body until its verified end or until it exceeds the limit.
 *
 * @param limitBytes once more than this is read, the remainder stays unread.
 */
export async function collectBody(
  body: AnswerBody,
  limitBytes: number,
): Promise<Result<CollectedBody, AttemptError>> {
  const chunks: Uint8Array[] = [];
  let lengthBytes = 0;
  while (lengthBytes <= limitBytes) {
    const chunk = await body.readChunk();
    if (!chunk.ok) return chunk;
    if (chunk.val === undefined) {
      return Ok({chunks, lengthBytes, isComplete: true});
    }
    chunks.push(chunk.val);
    lengthBytes += chunk.val.length;
  }
  return Ok({chunks, lengthBytes, isComplete: false});
}
