import type {Result} from 'ts-results';

import type {AttemptError} from './attempt_error.js';
import type {SendCheck} from './send_check.js';

/** One attempt to run a caller's request at one upstream. */
export interface AttemptRequest {
  /** Unique per attempt; an answer with another id is rejected. */
  readonly attemptId: string;
  readonly requestId: string;
  readonly method: string;
  /** Path and query at the upstream. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array | undefined;
  /** The engine serves lower numbers first. */
  readonly priority: number;
  /** Inactivity timeout: the attempt fails if nothing arrives for this time. */
  readonly inactivityTimeoutMilliseconds: number;
  /** Aborting it cancels the attempt at the upstream. */
  readonly signal: AbortSignal;
  /** Decides whether the request may be written; it always may if absent. */
  readonly sendCheck?: SendCheck;
}

/** Reads the body of an answer chunk by chunk. */
export interface AnswerBody {
  /**
   * Returns the next chunk, or undefined after the end of a complete body. A
   * truncated body ends with an error.
   */
  readChunk(): Promise<Result<Uint8Array | undefined, AttemptError>>;
  /** Discards the rest of the body and releases the connection. */
  cancel(): void;
}

/** An upstream's answer: its head, and a reader for its body. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Whether the upstream declares that it accepts no new requests. */
  readonly isLeaving: boolean;
  readonly body: AnswerBody;
}

export type AttemptResult = Promise<Result<UpstreamAnswer, AttemptError>>;
