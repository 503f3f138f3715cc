import type {KeptAnswer} from '@arbutustide/claims';

import type {AnswerChunks, CallerAnswer} from './caller_request.js';

import {AnswerEnd} from './caller_request.js';

/** Replays the stored answer of a request with the same idempotency key. */
export function replayAnswer(stored: KeptAnswer): CallerAnswer {
  const body = Buffer.from(stored.bodyBase64, 'base64');
  return {
    status: stored.status,
    contentType: stored.contentType,
    upstreamId: undefined,
    queuedMilliseconds: 0,
    lengthBytes: body.length,
    pieces: singleChunk(body),
  };
}

async function* singleChunk(body: Buffer): AnswerChunks {
  yield body;
  return AnswerEnd.WHOLE;
}
