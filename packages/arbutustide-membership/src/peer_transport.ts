import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Result} from 'ts-results';

import type {
  ConfirmConfigurationRequest,
  ConfirmConfigurationResponse,
  ConfirmConfigurationResponseSchema,
  ExchangeRequest,
  ExchangeResponse,
  FindStreamOriginRequest,
  FindStreamOriginResponse,
  FindStreamOriginResponseSchema,
  HoldingRequest,
  LeaseQuotaRequest,
  LeaseQuotaResponse,
  LeaseQuotaResponseSchema,
  LendRetriesRequest,
  LendRetriesResponse,
  RecordStreamOriginsRequest,
  RelayRequestRequest,
  RelayRequestResponse,
  RelayRequestResponseSchema,
  RequestTokenRequest,
  RequestTokenResponse,
  WatchRequest,
  RequestTokenResponseSchema,
  WatchResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** A call to a peer that failed. */
export class PeerError extends Error {
  /**
   * @param isRefused whether the connection was refused, so that no process
   *     listens at the peer's address.
   */
  constructor(
    readonly peerUrl: string,
    message: string,
    readonly isRefused = false,
  ) {
    super(message);
    this.name = 'PeerError';
  }
}

/** The upstream that will hold a model or adapter, and when. */
export interface PromisedHolding {
  /** Empty while the upstream has not been chosen. */
  readonly upstreamId: string;
  /** Expected time until the upstream accepts requests for it. */
  readonly readyInMilliseconds: number;
}

/** Answers to several requests; undefined where no upstream will hold it. */
export type PromisedHoldings = readonly (PromisedHolding | undefined)[];

/** Client for calls to other nodes; a failed call returns a PeerError. */
export interface PeerTransport {
  exchange(
    peerUrl: string,
    request: ExchangeRequest,
  ): Promise<Result<ExchangeResponse, PeerError>>;
  /**
   * JSON of the peer's active catalogue head; empty when it has none.
   *
   * @param maximumAgeMilliseconds age from which the peer's knowledge is of no
   *     use, so that it may answer with an empty text.
   */
  fetchHead(
    peerUrl: string,
    maximumAgeMilliseconds?: number,
  ): Promise<Result<string, PeerError>>;
  /** JSON of one catalogue object; empty when the peer lacks it. */
  fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<string, PeerError>>;
  /**
   * Asks the planner to have a model or adapter loaded; undefined when no
   * upstream will hold it.
   */
  requestHolding(
    peerUrl: string,
    request: HoldingRequest,
  ): Promise<Result<PromisedHolding | undefined, PeerError>>;
  /**
   * Asks the planner for several models and adapters at once; the answers come
   * in the order of the request.
   */
  requestHoldings(
    peerUrl: string,
    requests: readonly HoldingRequest[],
  ): Promise<Result<PromisedHoldings, PeerError>>;
  /**
   * Waits for changes in the object store that the peer has received.
   *
   * @param maximumMilliseconds the longest that the call takes, with the time in
   *     which this process read no answers.
   */
  watch(
    peerUrl: string,
    request: WatchRequest,
    maximumMilliseconds?: number,
  ): Promise<Result<WatchResponse, PeerError>>;
  /** Asks the issuer of an upstream's tokens for one. */
  requestToken(
    peerUrl: string,
    request: RequestTokenRequest,
  ): Promise<Result<RequestTokenResponse, PeerError>>;
  /** Tells a peer where streams began. */
  recordStreamOrigins(
    peerUrl: string,
    request: RecordStreamOriginsRequest,
  ): Promise<Result<void, PeerError>>;
  /** Asks a peer where a stream began. */
  findStreamOrigin(
    peerUrl: string,
    request: FindStreamOriginRequest,
  ): Promise<Result<FindStreamOriginResponse, PeerError>>;
  /** Asks a peer how recently it confirmed the configuration in force. */
  confirmConfiguration(
    peerUrl: string,
    request: ConfirmConfigurationRequest,
  ): Promise<Result<ConfirmConfigurationResponse, PeerError>>;
  /** Asks the issuer of teams' quotas for leases on tokens. */
  leaseQuota(
    peerUrl: string,
    request: LeaseQuotaRequest,
  ): Promise<Result<LeaseQuotaResponse, PeerError>>;
  /** Asks a peer for a part of its unspent retries. */
  lendRetries(
    peerUrl: string,
    request: LendRetriesRequest,
  ): Promise<Result<LendRetriesResponse, PeerError>>;
  /**
   * Has a peer pass a caller's request on. The iteration throws a PeerError if
   * the peer does not answer or its answer breaks off.
   *
   * @param signal aborts the request at the peer too.
   */
  relayRequest(
    peerUrl: string,
    request: RelayRequestRequest,
    signal: AbortSignal,
  ): AsyncIterable<RelayRequestResponse>;
}

/** Answer to a peer's watch; undefined if this node lacks the version. */
export type WatchResponseFields = Pick<
  WatchResponse,
  'batchesJson' | 'version' | 'ageMilliseconds'
>;

/** Answer of an issuer; undefined if this node is not the issuer. */
export type RequestTokenResponseFields = Omit<
  MessageInitShape<typeof RequestTokenResponseSchema>,
  '$typeName' | 'isIssuer'
>;

/** What this node knows of the origin of a stream. */
export type FindStreamOriginResponseFields = Omit<
  MessageInitShape<typeof FindStreamOriginResponseSchema>,
  '$typeName'
>;

/** How recently this node confirmed the configuration in force. */
export type ConfirmConfigurationResponseFields = Omit<
  MessageInitShape<typeof ConfirmConfigurationResponseSchema>,
  '$typeName'
>;

/** Grants for the claims of a peer. */
export type LeaseQuotaResponseFields = Omit<
  MessageInitShape<typeof LeaseQuotaResponseSchema>,
  '$typeName'
>;

/** A part of the answer to a request that a peer has passed to this node. */
export type RelayResponsePart = MessageInitShape<
  typeof RelayRequestResponseSchema
>;

/** Server side of the calls from peers. */
export interface PeerHandler {
  exchange(request: ExchangeRequest): ExchangeResponse;
  /**
   * JSON of this node's active catalogue head; empty when it has none.
   *
   * @param maximumAgeMilliseconds age from which the caller has no use for it;
   *     zero if it has use for every age.
   */
  catalogueHeadJson(maximumAgeMilliseconds?: number): string;
  /** JSON of one catalogue object; empty when this node lacks it. */
  catalogueContentJson(digest: string): string;
  /** Undefined unless this node is the planner and an upstream will hold it. */
  requestHolding(request: HoldingRequest): Promise<PromisedHolding | undefined>;
  /** One answer for each request, in their order. */
  requestHoldings(
    requests: readonly HoldingRequest[],
  ): Promise<PromisedHoldings>;
  /** Undefined if this node does not have all changes after the version. */
  serveWatch(request: WatchRequest): Promise<WatchResponseFields | undefined>;
  /** Undefined if this node does not issue the tokens of the upstream. */
  issueToken(
    request: RequestTokenRequest,
  ): RequestTokenResponseFields | undefined;
  recordStreamOrigins(request: RecordStreamOriginsRequest): void;
  findStreamOrigin(
    request: FindStreamOriginRequest,
  ): Promise<FindStreamOriginResponseFields>;
  confirmConfiguration(
    request: ConfirmConfigurationRequest,
  ): ConfirmConfigurationResponseFields;
  leaseQuota(request: LeaseQuotaRequest): LeaseQuotaResponseFields;
  /** Gives up retries for a peer; returns how many. */
  lendRetries(request: LendRetriesRequest): number;
  /**
   * Passes a request on for a peer that cannot reach the upstreams.
   *
   * @param signal aborted when the peer gives the request up.
   */
  relayRequest(
    request: RelayRequestRequest,
    signal: AbortSignal,
  ): AsyncIterable<RelayResponsePart>;
}
