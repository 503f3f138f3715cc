import type {CatalogueEntry, RequestClass} from '@arbutustide/catalogue';
import type {Cancellation} from '@arbutustide/errors';

/** A caller's request after this node has validated it. */
export interface CallerRequest {
  readonly requestId: string;
  /** Name of the caller, which is also the tenant in metrics. */
  readonly caller: string;
  readonly entry: CatalogueEntry;
  /** Item name (`name@version`) of the entry's version in the catalogue. */
  readonly item: string;
  readonly requestClass: RequestClass;
  readonly method: string;
  /** Path and query to send to the upstream. */
  readonly path: string;
  readonly contentType: string | undefined;
  /** The body as the caller sent it. */
  readonly body: Uint8Array | undefined;
  /** The body with the model name replaced by this item name. */
  readonly bodyForItem: (item: string) => Uint8Array | undefined;
  /** Whether the caller asked for server-sent events. */
  readonly isStream: boolean;
  /** Value of `Idempotency-Key`, if any. */
  readonly idempotencyKey: string | undefined;
  /** Digest of the prompt's prefix, for prefix cache affinity. */
  readonly prefixDigest: string | undefined;
  /** Until when it is known that the caller had not left (monotonic). */
  readonly callerSeenAtMilliseconds: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller disconnects. */
  readonly disconnection: Cancellation;
}

/** How the body of an answer ended. */
export enum AnswerEnd {
  /** The answer was relayed completely. */
  WHOLE = 'whole',
  /** The upstream stopped sending before the end of the answer. */
  BROKEN = 'broken',
  /** The caller stopped reading. */
  ABANDONED = 'abandoned',
}

/** Chunks of a body; the generator returns how the body ended. */
export type AnswerChunks = AsyncGenerator<Uint8Array, AnswerEnd, undefined>;

/** An answer to be relayed to the caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Upstream that answered; undefined for a replayed answer. */
  readonly upstreamId: string | undefined;
  /** Time spent waiting for admission, in milliseconds. */
  readonly queuedMilliseconds: number;
  /** Length of the body if it is known before the first chunk. */
  readonly lengthBytes: number | undefined;
  readonly chunks: AnswerChunks;
}
