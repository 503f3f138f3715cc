import type {AnswerEnd} from '../caller_request.js';

/** An answer to be passed on to the caller. */
export interface FleetAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Id of the upstream whose answer this is. */
  readonly upstreamId: string;
  /** A whole body, or pieces while they arrive. */
  readonly body: Buffer | AsyncGenerator<Uint8Array, AnswerEnd, undefined>;
}
