import type {StoredAnswer} from '@arbutustide/claims';

import type {AnswerChunks, CallerAnswer} from './caller_request.js';

import {AnswerEnd} from './caller_request.js';

/** Replays the stored answer of a request with the same idempotency key. */
export function replayAnswer(stored: StoredAnswer): CallerAnswer {
  const body = Buffer.from(stored.bodyBase64, 'base64');
  return {
    status: stored.status,
    contentType: stored.contentType,
    upstreamId: undefined,
    queuedMilliseconds: 0,
    lengthBytes: body.length,
    chunks: singleChunk(body),
  };
}

async function* singleChunk(body: Buffer): AnswerChunks {
  yield body;
  return AnswerEnd.WHOLE;
}
