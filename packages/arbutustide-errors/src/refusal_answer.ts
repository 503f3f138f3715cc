import type {RefusalError} from './refusal_error.js';

import {ANSWER_TABLE} from './answer_table.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** The body of a refusal, in the shape OpenAI clients understand. */
export interface RefusalBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly param: null;
    readonly request_id: string;
    readonly ran: string;
    readonly retry: string;
  };
}

/** A refusal as an HTTP answer. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: RefusalBody;
}

/** Turns a refusal into the HTTP answer its kind has in the table. */
export function refusalAnswer(
  refusal: RefusalError,
  requestId: string,
): RefusalAnswer {
  const row = ANSWER_TABLE[refusal.kind];
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-request-ran': refusal.ran,
  };
  if (refusal.retryAfterMilliseconds !== undefined) {
    const seconds = refusal.retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
    headers['retry-after'] = String(Math.max(1, Math.ceil(seconds)));
  }
  return {
    status: row.status,
    headers,
    body: {
      error: {
        message: refusal.message,
        type: row.status < 500 ? 'invalid_request_error' : 'server_error',
        code: refusal.kind,
        param: null,
        request_id: requestId,
        ran: refusal.ran,
        retry: row.advice,
      },
    },
  };
}
