import type {Result} from 'ts-results';

import type {
  ExchangeRequest,
  ExchangeResponse,
  HoldingRequest,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** A call to a peer that failed. */
export class PeerError extends Error {
  /** @param isRefused whether no process listens at the peer's address. */
  constructor(
    readonly peerUrl: string,
    message: string,
    readonly isRefused = false,
  ) {
    super(message);
    this.name = 'PeerError';
  }
}

/** Where a model or adapter will be held, and when. */
export interface PromisedHolding {
  /** Empty while the upstream has not been chosen. */
  readonly upstreamId: string;
  readonly readyInMilliseconds: number;
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
  /** Asks the planner for a holding; undefined when there will be none. */
  requestHolding(
    peerUrl: string,
    request: HoldingRequest,
  ): Promise<Result<PromisedHolding | undefined, PeerError>>;
}

/** What this node answers to its peers. */
export interface PeerHandler {
  exchange(request: ExchangeRequest): ExchangeResponse;
  headJson(): string;
  contentJson(digest: string): string;
  /** Undefined unless this node plans and some upstream will hold it. */
  requestHolding(request: HoldingRequest): Promise<PromisedHolding | undefined>;
}
