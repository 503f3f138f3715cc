import type {AnswerBody, AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import {Ok} from 'ts-results';

/** Pieces read so far, and whether the body has ended. */
export interface CollectedBody {
  readonly pieces: readonly Uint8Array[];
  readonly lengthBytes: number;
  readonly isWhole: boolean;
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
  const pieces: Uint8Array[] = [];
  let lengthBytes = 0;
  while (lengthBytes <= limitBytes) {
    const piece = await body.read();
    if (!piece.ok) return piece;
    if (piece.val === undefined) {
      return Ok({pieces, lengthBytes, isWhole: true});
    }
    pieces.push(piece.val);
    lengthBytes += piece.val.length;
  }
  return Ok({pieces, lengthBytes, isWhole: false});
}
