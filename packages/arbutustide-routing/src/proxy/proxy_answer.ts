import type {AnswerEnd} from '../caller_request.js';
import type {StreamOrigin} from './stream_origin/stream_origin.js';

/** An upstream's answer as it is forwarded to the caller. */
export interface ProxyAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Id of the upstream that sent the answer. */
  readonly upstreamId: string;
  /** Service and software version of that upstream. */
  readonly origin: StreamOrigin;
  /** Attempts made until the answer began. */
  readonly attempts: number;
  /**
   * Complete body, or a stream of chunks that returns how it ended. Its first
   * chunk has come, unless it is whole without any.
   */
  readonly body: Buffer | AsyncGenerator<Uint8Array, AnswerEnd, undefined>;
}
