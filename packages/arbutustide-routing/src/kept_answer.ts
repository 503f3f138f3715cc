import type {KeptAnswer} from '@arbutustide/claims';

import type {AnswerPieces, CallerAnswer} from './caller_request.js';

import {AnswerEnd} from './caller_request.js';

/** The answer kept from an earlier run, for a resend. */
export function keptAnswer(kept: KeptAnswer): CallerAnswer {
  const body = Buffer.from(kept.bodyBase64, 'base64');
  return {
    status: kept.status,
    contentType: kept.contentType,
    upstreamId: undefined,
    queuedMilliseconds: 0,
    lengthBytes: body.length,
    pieces: singlePiece(body),
  };
}

async function* singlePiece(body: Buffer): AnswerPieces {
  yield body;
  return AnswerEnd.WHOLE;
}
