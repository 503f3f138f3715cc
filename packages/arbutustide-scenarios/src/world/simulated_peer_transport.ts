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
  PeerHandler,
  PeerTransport,
  PromisedHolding,
  PromisedHoldings,
  RecordStreamOriginsRequest,
  RelayRequestResponse,
  RequestTokenRequest,
  RequestTokenResponse,
  WatchRequest,
  WatchResponse,
} from '@arbutustide/membership';
import type {Result} from 'ts-results';

import type {SimulatedNetwork} from './simulated_network.js';
import type {SimulatedProcess} from './simulated_process.js';

import {
  ConfirmConfigurationResponseSchema,
  FindStreamOriginResponseSchema,
  LeaseQuotaResponseSchema,
  LendRetriesResponseSchema,
  PeerError,
  RequestTokenResponseSchema,
  WatchResponseSchema,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';
import {Err} from 'ts-results';

import {Step} from './fault.js';
import {ProcessState} from './simulated_process.js';

const CALL_TIMEOUT_MILLISECONDS = 1_500;

/** The process and handler that peers reach at an address. */
export interface PeerEndpoint {
  readonly process: SimulatedProcess;
  readonly handler: PeerHandler;
}

/** Peer transport of a simulated process. */
export class SimulatedPeerTransport implements PeerTransport {
  /** @param findEndpoint Returns the endpoint at an address, if there is one. */
  constructor(
    private readonly findEndpoint: (
      peerUrl: string,
    ) => PeerEndpoint | undefined,
    private readonly network: SimulatedNetwork,
    private readonly process: SimulatedProcess,
  ) {}

  exchange(
    peerUrl: string,
    request: ExchangeRequest,
  ): Promise<Result<ExchangeResponse, PeerError>> {
    return this.callPeer(peerUrl, Step.GOSSIP, handler =>
      handler.exchange(request),
    );
  }

  fetchHead(peerUrl: string): Promise<Result<string, PeerError>> {
    return this.callPeer(peerUrl, undefined, handler =>
      handler.catalogueHeadJson(),
    );
  }

  fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<string, PeerError>> {
    return this.callPeer(peerUrl, Step.SPREAD, handler =>
      handler.catalogueContentJson(digest),
    );
  }

  async requestHolding(
    peerUrl: string,
    request: HoldingRequest,
  ): Promise<Result<PromisedHolding | undefined, PeerError>> {
    return this.callPeer(peerUrl, undefined, handler =>
      handler.requestHolding(request),
    );
  }

  requestHoldings(
    peerUrl: string,
    requests: readonly HoldingRequest[],
  ): Promise<Result<PromisedHoldings, PeerError>> {
    return this.callPeer(peerUrl, undefined, handler =>
      handler.requestHoldings(requests),
    );
  }

  async watch(
    peerUrl: string,
    request: WatchRequest,
  ): Promise<Result<WatchResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.serveWatch(request),
    );
    return response.map(served =>
      create(WatchResponseSchema, {isServed: served !== undefined, ...served}),
    );
  }

  /** Nodes of the simulated world pass no requests on. */
  relayRequest(peerUrl: string): AsyncIterable<RelayRequestResponse> {
    throw new PeerError(peerUrl, 'requests are not passed on');
  }

  async requestToken(
    peerUrl: string,
    request: RequestTokenRequest,
  ): Promise<Result<RequestTokenResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.issueToken(request),
    );
    return response.map(issued =>
      create(RequestTokenResponseSchema, {
        isIssuer: issued !== undefined,
        ...issued,
      }),
    );
  }

  async confirmConfiguration(
    peerUrl: string,
    request: ConfirmConfigurationRequest,
  ): Promise<Result<ConfirmConfigurationResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.confirmConfiguration(request),
    );
    return response.map(fields =>
      create(ConfirmConfigurationResponseSchema, fields),
    );
  }

  async leaseQuota(
    peerUrl: string,
    request: LeaseQuotaRequest,
  ): Promise<Result<LeaseQuotaResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.leaseQuota(request),
    );
    return response.map(fields => create(LeaseQuotaResponseSchema, fields));
  }

  async lendRetries(
    peerUrl: string,
    request: LendRetriesRequest,
  ): Promise<Result<LendRetriesResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.lendRetries(request),
    );
    return response.map(lent => create(LendRetriesResponseSchema, {lent}));
  }

  recordStreamOrigins(
    peerUrl: string,
    request: RecordStreamOriginsRequest,
  ): Promise<Result<void, PeerError>> {
    return this.callPeer(peerUrl, undefined, handler =>
      handler.recordStreamOrigins(request),
    );
  }

  async findStreamOrigin(
    peerUrl: string,
    request: FindStreamOriginRequest,
  ): Promise<Result<FindStreamOriginResponse, PeerError>> {
    const response = await this.callPeer(peerUrl, undefined, handler =>
      handler.findStreamOrigin(request),
    );
    return response.map(fields =>
      create(FindStreamOriginResponseSchema, fields),
    );
  }

  private async callPeer<T>(
    peerUrl: string,
    step: Step | undefined,
    callHandler: (handler: PeerHandler) => T | Promise<T>,
  ): Promise<Result<T, PeerError>> {
    const endpoint = this.findEndpoint(peerUrl);
    if (!endpoint) return Err(new PeerError(peerUrl, 'no node at the address'));
    const {process, handler} = endpoint;
    const result = await this.network.call({
      from: this.process,
      to: process.name,
      step,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      isUp: () => process.state !== ProcessState.DEAD,
      effect: () =>
        new Promise<T>(resolve => {
          process.runWhenRunning(() => resolve(callHandler(handler)));
        }),
    });
    return result.mapErr(failure => new PeerError(peerUrl, failure));
  }
}
