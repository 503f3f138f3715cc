import type {CatalogueEntry, RequestClass} from '@arbutustide/catalogue';
import type {Cancellation} from '@arbutustide/errors';

/** A caller's request after the entry has checked it. */
export interface CallerRequest {
  readonly requestId: string;
  /** Name of the caller; also the tenant in metrics. */
  readonly caller: string;
  readonly entry: CatalogueEntry;
  /** The entry's item in the catalogue's version, as engines name it. */
  readonly item: string;
  readonly requestClass: RequestClass;
  readonly method: string;
  /** Path and query at the upstream. */
  readonly path: string;
  readonly contentType: string | undefined;
  /** The body as the caller sent it. */
  readonly body: Uint8Array | undefined;
  /** The body for a replica that knows the model under this item name. */
  readonly bodyForItem: (item: string) => Uint8Array | undefined;
  /** Whether the caller asked for server-sent events. */
  readonly isStream: boolean;
  /** Value of `Idempotency-Key`, if any. */
  readonly idempotencyKey: string | undefined;
  /** Digest of the prompt's prefix; requests that share it meet. */
  readonly prefixDigest: string | undefined;
  /** By the monotonic clock, in milliseconds. */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller goes away. */
  readonly presence: Cancellation;
}

/** How the body of an answer ended. */
export enum AnswerEnd {
  WHOLE = 'whole',
  /** The upstream ended before the answer did. */
  BROKEN = 'broken',
  /** The caller stopped reading. */
  ABANDONED = 'abandoned',
}

/** Pieces of a body; the generator returns how it ended. */
export type AnswerChunks = AsyncGenerator<Uint8Array, AnswerEnd, undefined>;

/** An answer to be relayed to the caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Upstream that answered; undefined for an answer kept from before. */
  readonly upstreamId: string | undefined;
  /** Time spent waiting for a place, in milliseconds. */
  readonly queuedMilliseconds: number;
  /** Whole length when known before the first piece. */
  readonly lengthBytes: number | undefined;
  readonly pieces: AnswerChunks;
}
