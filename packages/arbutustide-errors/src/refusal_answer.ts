import type {RefusalError} from './refusal_error.js';

import {ANSWER_TABLE} from './answer_table.js';
import {ExecutionStatus} from './error_kind.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** JSON body of a refusal, in the format of OpenAI API errors. */
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

/** The HTTP answer to a refused request. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: RefusalBody;
}

/** Statuses from which a caller may conclude that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY_STATUS = 502;

/**
 * The status from the table, or 502 if that status would tell the caller that a
 * request which may have run was not run.
 */
function chooseStatus({kind, ran}: RefusalError): number {
  const {status} = ANSWER_TABLE[kind];
  const wouldClaimNotRun =
    ran !== ExecutionStatus.NOT_EXECUTED && NOT_RUN_STATUSES.has(status);
  return wouldClaimNotRun ? BAD_GATEWAY_STATUS : status;
}

/**
 * Builds the HTTP answer to a refused request. `Retry-After` is in whole
 * seconds, at least 1, and absent if the status was replaced by 502.
 */
export function createRefusalAnswer(
  refusal: RefusalError,
  requestId: string,
): RefusalAnswer {
  const row = ANSWER_TABLE[refusal.kind];
  const status = chooseStatus(refusal);
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-request-ran': refusal.ran,
  };
  const hasTableStatus = status === row.status;
  if (hasTableStatus && refusal.retryAfterMilliseconds !== undefined) {
    const seconds = refusal.retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
    headers['retry-after'] = String(Math.max(1, Math.ceil(seconds)));
  }
  return {
    status,
    headers,
    body: {
      error: {
        message: refusal.message,
        type: status < 500 ? 'invalid_request_error' : 'server_error',
        code: refusal.kind,
        param: null,
        request_id: requestId,
        ran: refusal.ran,
        retry: row.retryAdvice,
      },
    },
  };
}
