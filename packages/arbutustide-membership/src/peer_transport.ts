import type {Result} from 'ts-results';

import type {
  ExchangeRequest,
  ExchangeResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** A call to a peer that failed. */
export class PeerError extends Error {
  constructor(
    readonly peerUrl: string,
    message: string,
  ) {
    super(message);
    this.name = 'PeerError';
  }
}

/** Calls to other nodes. */
export interface PeerTransport {
  exchange(
    peerUrl: string,
    request: ExchangeRequest,
  ): Promise<Result<ExchangeResponse, PeerError>>;
  /** JSON of the catalogue head in force there; empty when it has none. */
  fetchHead(peerUrl: string): Promise<Result<string, PeerError>>;
  /** JSON of one catalogue object; empty when the peer lacks it. */
  fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<string, PeerError>>;
}

/** What this node answers to its peers. */
export interface PeerHandler {
  exchange(request: ExchangeRequest): ExchangeResponse;
  headJson(): string;
  contentJson(digest: string): string;
}
