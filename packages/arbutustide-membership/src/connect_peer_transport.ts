import type {CallOptions, Client} from '@connectrpc/connect';
import type {Result} from 'ts-results';

import type {
  ConfirmConfigurationRequest,
  ConfirmConfigurationResponse,
  ExchangeRequest,
  ExchangeResponse,
  FindStreamOriginRequest,
  FindStreamOriginResponse,
  HoldingRequest,
  LeaseQuotaRequest,
  LeaseQuotaResponse,
  LendRetriesRequest,
  LendRetriesResponse,
  RecordStreamOriginsRequest,
  RelayRequestRequest,
  RelayRequestResponse,
  RequestTokenRequest,
  RequestTokenResponse,
  WatchRequest,
  WatchResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {
  PeerTransport,
  PromisedHolding,
  PromisedHoldings,
} from './peer_transport.js';

import {ResponseTimeout} from '@arbutustide/event-loop';
import {ConnectError, createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Err, Ok} from 'ts-results';

import {MembershipService} from './gen/arbutustide/membership/v1/membership_pb.js';
import {
  COMPRESSION_MINIMUM_BYTES,
  PEER_COMPRESSION,
} from './peer_compression.js';
import {PeerSessionManager} from './peer_session_manager.js';
import {PeerError} from './peer_transport.js';
import {UnaryPeerTransport} from './unary_peer_transport.js';

/**
 * After this time without traffic a connection is checked with a ping. Longer
 * than the pause between two exchanges, which then need no ping, and short
 * enough to replace a silent connection before gossip drops the peer.
 */
const PING_INTERVAL_MILLISECONDS = 900;
/**
 * Busy small hosts answer within a second. A silent connection is replaced 2.3 s
 * after its last data, before gossip drops the peer.
 */
const PING_TIMEOUT_MILLISECONDS = 1_400;
const IDLE_CONNECTION_MILLISECONDS = 60_000;
/** Time for the answer to a watch beyond the time that it may be held open. */
const WATCH_ANSWER_MILLISECONDS = 400;
const CONNECTION_REFUSED = 'ECONNREFUSED';

type PeerClient = Client<typeof MembershipService>;

/**
 * Calls MembershipService of peers with the Connect protocol on HTTP/2, with
 * one connection per peer.
 */
export class ConnectPeerTransport implements PeerTransport {
  private readonly clients = new Map<string, PeerClient>();
  private readonly sessions = new Map<string, PeerSessionManager>();

  /**
   * @param timeoutMilliseconds limit for one call.
   * @param onConnectionError called when an open connection has failed.
   */
  constructor(
    private readonly timeoutMilliseconds: number,
    private readonly onConnectionError: (peerUrl: string, error: Error) => void,
  ) {}

  exchange(
    peerUrl: string,
    request: ExchangeRequest,
  ): Promise<Result<ExchangeResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.exchange(request, options),
    );
  }

  async fetchHead(
    peerUrl: string,
    maximumAgeMilliseconds = 0,
  ): Promise<Result<string, PeerError>> {
    const answer = await this.call(peerUrl, (client, options) =>
      client.fetchHead({maximumAgeMilliseconds}, options),
    );
    return answer.map(({headJson}) => headJson);
  }

  async fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<string, PeerError>> {
    const answer = await this.call(peerUrl, (client, options) =>
      client.fetchContent({digest}, options),
    );
    return answer.map(({contentJson}) => contentJson);
  }

  async requestHolding(
    peerUrl: string,
    request: HoldingRequest,
  ): Promise<Result<PromisedHolding | undefined, PeerError>> {
    const answer = await this.call(peerUrl, (client, options) =>
      client.requestHolding(request, options),
    );
    return answer.map(holding => (holding.promised ? holding : undefined));
  }

  async requestHoldings(
    peerUrl: string,
    requests: readonly HoldingRequest[],
  ): Promise<Result<PromisedHoldings, PeerError>> {
    const answer = await this.call(peerUrl, (client, options) =>
      client.requestHoldings({holdings: [...requests]}, options),
    );
    return answer.map(({holdings}) =>
      holdings.map(holding => (holding.promised ? holding : undefined)),
    );
  }

  watch(
    peerUrl: string,
    request: WatchRequest,
    maximumMilliseconds?: number,
  ): Promise<Result<WatchResponse, PeerError>> {
    const timeout = new ResponseTimeout(
      request.waitMilliseconds + WATCH_ANSWER_MILLISECONDS,
      {maximumMilliseconds},
    );
    return this.call(
      peerUrl,
      (client, options) => client.watch(request, options),
      timeout,
    );
  }

  requestToken(
    peerUrl: string,
    request: RequestTokenRequest,
  ): Promise<Result<RequestTokenResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.requestToken(request, options),
    );
  }

  async recordStreamOrigins(
    peerUrl: string,
    request: RecordStreamOriginsRequest,
  ): Promise<Result<void, PeerError>> {
    const answer = await this.call(peerUrl, (client, options) =>
      client.recordStreamOrigins(request, options),
    );
    return answer.map(() => undefined);
  }

  findStreamOrigin(
    peerUrl: string,
    request: FindStreamOriginRequest,
  ): Promise<Result<FindStreamOriginResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.findStreamOrigin(request, options),
    );
  }

  confirmConfiguration(
    peerUrl: string,
    request: ConfirmConfigurationRequest,
  ): Promise<Result<ConfirmConfigurationResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.confirmConfiguration(request, options),
    );
  }

  leaseQuota(
    peerUrl: string,
    request: LeaseQuotaRequest,
  ): Promise<Result<LeaseQuotaResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.leaseQuota(request, options),
    );
  }

  lendRetries(
    peerUrl: string,
    request: LendRetriesRequest,
  ): Promise<Result<LendRetriesResponse, PeerError>> {
    return this.call(peerUrl, (client, options) =>
      client.lendRetries(request, options),
    );
  }

  async *relayRequest(
    peerUrl: string,
    request: RelayRequestRequest,
    signal: AbortSignal,
  ): AsyncGenerator<RelayRequestResponse> {
    try {
      yield* this.client(peerUrl).relayRequest(request, {signal});
    } catch (error) {
      throw toPeerError(peerUrl, error);
    }
  }

  /** Releases the client of a peer that no longer exists. */
  dropClient(peerUrl: string): void {
    this.sessions.get(peerUrl)?.close();
    this.sessions.delete(peerUrl);
    this.clients.delete(peerUrl);
  }

  private async call<T>(
    peerUrl: string,
    send: (client: PeerClient, options: CallOptions) => Promise<T>,
    timeout = new ResponseTimeout(this.timeoutMilliseconds),
  ): Promise<Result<T, PeerError>> {
    const {signal} = timeout;
    try {
      return Ok(await send(this.client(peerUrl), {signal}));
    } catch (error) {
      return Err(toPeerError(peerUrl, error));
    } finally {
      timeout.close();
    }
  }

  private client(peerUrl: string): PeerClient {
    const existing = this.clients.get(peerUrl);
    if (existing) return existing;
    const sessionManager = new PeerSessionManager(
      peerUrl,
      {
        pingIntervalMs: PING_INTERVAL_MILLISECONDS,
        pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
        idleConnectionTimeoutMs: IDLE_CONNECTION_MILLISECONDS,
      },
      error => this.onConnectionError(peerUrl, error),
    );
    const transport = createConnectTransport({
      baseUrl: peerUrl,
      httpVersion: '2',
      acceptCompression: [PEER_COMPRESSION],
      sendCompression: PEER_COMPRESSION,
      compressMinBytes: COMPRESSION_MINIMUM_BYTES,
      sessionManager,
    });
    this.sessions.set(peerUrl, sessionManager);
    const client = createClient(
      MembershipService,
      new UnaryPeerTransport(sessionManager, transport),
    );
    this.clients.set(peerUrl, client);
    return client;
  }
}

function toPeerError(peerUrl: string, error: unknown): PeerError {
  const {message, cause} = ConnectError.from(error);
  const isRefused =
    cause instanceof Error &&
    'code' in cause &&
    cause.code === CONNECTION_REFUSED;
  return new PeerError(peerUrl, `${peerUrl}: ${message}`, isRefused);
}
