import type {Result} from 'ts-results';

import type {AttemptError} from './attempt_error.js';

/** One try of a caller's request at one upstream. */
export interface AttemptRequest {
  /** Drawn anew for each attempt; the upstream's answer must carry it. */
  readonly attemptId: string;
  readonly requestId: string;
  readonly method: string;
  /** Path and query at the upstream. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array | undefined;
  /** Lower numbers go first at the engine. */
  readonly priority: number;
  /** Longest silence before the attempt counts as broken. */
  readonly progressMilliseconds: number;
  /** Aborting it cancels the attempt at the upstream. */
  readonly signal: AbortSignal;
}

/** Reads an answer's body piece by piece. */
export interface AnswerBody {
  /** The next piece; undefined after the checked end of the body. */
  read(): Promise<Result<Uint8Array | undefined, AttemptError>>;
  /** Gives the rest up and frees the connection. */
  cancel(): void;
}

/** An upstream's answer whose head has arrived. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Whether the upstream says that it takes no new work. */
  readonly isLeaving: boolean;
  readonly body: AnswerBody;
}

export type AttemptResult = Promise<Result<UpstreamAnswer, AttemptError>>;
