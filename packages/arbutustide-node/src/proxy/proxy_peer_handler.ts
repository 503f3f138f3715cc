import type {
  ConfirmConfigurationRequest,
  ConfirmConfigurationResponseFields,
  ExchangeRequest,
  ExchangeResponse,
  FindStreamOriginRequest,
  FindStreamOriginResponseFields,
  HoldingRequest,
  LeaseQuotaRequest,
  LeaseQuotaResponseFields,
  LendRetriesRequest,
  PeerHandler,
  PromisedHolding,
  PromisedHoldings,
  RecordStreamOriginsRequest,
  RelayRequestRequest,
  RelayResponsePart,
  RequestTokenRequest,
  RequestTokenResponseFields,
  WatchRequest,
  WatchResponseFields,
} from '@arbutustide/membership';
import type {DependencyContainer} from 'tsyringe';

import {serializeSnapshot} from './peer_snapshot.js';
import {ProxyToken} from './proxy_tokens.js';
import {chooseTokenIssuer} from './rate_limit/choose_token_issuer.js';
import {
  decodeTokenRequest,
  encodeTokenResponse,
} from './rate_limit/token_messages.js';

/** Answers the calls of a proxying node's peers. */
export class ProxyPeerHandler implements PeerHandler {
  /** @param identity identity of this node's process. */
  constructor(
    private readonly container: DependencyContainer,
    private readonly identity: string,
  ) {}

  exchange(request: ExchangeRequest): ExchangeResponse {
    return this.container.resolve(ProxyToken.GOSSIP).handleExchange(request);
  }

  /**
   * Snapshot of configuration and upstreams, for a peer that cannot read them
   * from the object store. Empty if this node has read neither, or too long ago
   * for the peer.
   */
  catalogueHeadJson(maximumAgeMilliseconds = 0): string {
    const {storedObject} = this.container.resolve(
      ProxyToken.CONFIGURATION_WATCHER,
    );
    const upstreamWatcher = this.container.resolve(ProxyToken.UPSTREAM_WATCHER);
    if (!storedObject && !upstreamWatcher.isInitialized) return '';
    const isTooOld =
      maximumAgeMilliseconds > 0 &&
      upstreamWatcher.silentMilliseconds > maximumAgeMilliseconds;
    if (isTooOld) return '';
    return serializeSnapshot(
      storedObject,
      upstreamWatcher.storedObjects,
      upstreamWatcher.silentMilliseconds,
    );
  }

  catalogueContentJson(): string {
    return '';
  }

  requestHolding({
    service,
    model,
    adapter,
    softwareVersion,
  }: HoldingRequest): Promise<PromisedHolding | undefined> {
    const reference = {model, adapter: adapter || undefined};
    return this.container
      .resolve(ProxyToken.PLANNER)
      .requestHolding(service, reference, softwareVersion || undefined);
  }

  requestHoldings(
    requests: readonly HoldingRequest[],
  ): Promise<PromisedHoldings> {
    return this.container.resolve(ProxyToken.HOLDING_SERVER).answer(requests);
  }

  serveWatch({
    prefix,
    afterVersion,
    waitMilliseconds,
  }: WatchRequest): Promise<WatchResponseFields | undefined> {
    return this.container
      .resolve(ProxyToken.RELAYED_STORE)
      .serveWatch(prefix, afterVersion, waitMilliseconds);
  }

  issueToken(
    message: RequestTokenRequest,
  ): RequestTokenResponseFields | undefined {
    const request = decodeTokenRequest(message);
    const nodes = this.container.resolve(ProxyToken.CLUSTER_VIEW).nodes();
    const issuer = chooseTokenIssuer(nodes, request.process);
    if (issuer?.identity !== this.identity) return undefined;
    return encodeTokenResponse(
      this.container.resolve(ProxyToken.TOKEN_ISSUER).handle(request),
    );
  }

  relayRequest(
    request: RelayRequestRequest,
    signal: AbortSignal,
  ): AsyncIterable<RelayResponsePart> {
    return this.container
      .resolve(ProxyToken.RELAY_SERVER)
      .handle(request, signal);
  }

  recordStreamOrigins(request: RecordStreamOriginsRequest): void {
    this.container.resolve(ProxyToken.STREAM_ORIGINS).handleRecords(request);
  }

  confirmConfiguration({
    version,
  }: ConfirmConfigurationRequest): ConfirmConfigurationResponseFields {
    return this.container
      .resolve(ProxyToken.CONFIGURATION_CONFIRMER)
      .answer(version);
  }

  leaseQuota(request: LeaseQuotaRequest): LeaseQuotaResponseFields {
    return this.container.resolve(ProxyToken.TEAM_QUOTAS).handleClaims(request);
  }

  lendRetries({service, wanted}: LendRetriesRequest): number {
    const {endsAtMilliseconds} = this.container.resolve(
      ProxyToken.SHUTDOWN_ADMISSION,
    );
    const isStopping = endsAtMilliseconds < Infinity;
    const budgets = this.container.resolve(ProxyToken.RETRY_BUDGETS);
    return isStopping ? 0 : budgets.forService(service).lend(wanted);
  }

  findStreamOrigin(
    request: FindStreamOriginRequest,
  ): Promise<FindStreamOriginResponseFields> {
    return this.container
      .resolve(ProxyToken.STREAM_ORIGINS)
      .handleFind(request);
  }
}
