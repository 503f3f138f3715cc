import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {
  ProxyUpstream,
  TokenIssuer,
  TokenRequest,
  TokenResponse,
  UpstreamProcess,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {decodeTokenResponse, encodeTokenRequest} from './token_messages.js';

/** Least time between two requests to an issuer, for each node. */
const REQUEST_INTERVAL_PER_NODE_MILLISECONDS = 20;
/**
 * Requests for tokens per second, over all nodes, while other upstreams can take
 * what the upstream does not get; more if its limit is higher. They show when a
 * limit has ended.
 */
const OPTIONAL_REQUESTS_PER_SECOND = 10;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time until the next request after one that no issuer answered. */
const FAILURE_RETRY_MILLISECONDS = 500;

/** Dependencies of a token requester. */
export interface TokenRequesterOptions {
  /** Identity of this node. */
  readonly identity: string;
  /** The node that issues the tokens of an upstream's process. */
  readonly chooseIssuer: (process: UpstreamProcess) => ClusterNode | undefined;
  readonly countNodes: () => number;
  /** Issues the tokens of the upstreams that fall to this node. */
  readonly ownIssuer: TokenIssuer;
  readonly transport: PeerTransport;
  /** Called when a token has become valid. */
  readonly onTokenValid: () => void;
  readonly logger: NodeLogger;
}

/** Gets tokens for requests to upstreams that limit their rate. */
export class TokenRequester {
  private readonly pendingIds = new Set<string>();
  private readonly requestedAtById = new Map<string, number>();

  constructor(private readonly options: TokenRequesterOptions) {}

  /**
   * Asks for a token of the upstream, unless this node has one, is waiting for
   * one, or has asked a short time ago.
   *
   * @param isNeeded whether no other upstream can take the request.
   */
  request(upstream: ProxyUpstream, isNeeded: boolean): void {
    const {id, rateLimit} = upstream;
    if (!rateLimit.isTokenRequestDue || this.pendingIds.has(id)) return;
    const now = performance.now();
    const requestedAt = this.requestedAtById.get(id) ?? -Infinity;
    if (
      !isNeeded &&
      now < requestedAt + this.optionalIntervalMilliseconds(upstream)
    )
      return;
    this.requestedAtById.set(id, now);
    this.pendingIds.add(id);
    void this.exchange(upstream, true).finally(() =>
      this.pendingIds.delete(id),
    );
  }

  /** Tells the issuer that this node saw another limit than before. */
  report(upstream: ProxyUpstream): void {
    void this.exchange(upstream, false);
  }

  /** Time between two requests of this node that it could do without. */
  private optionalIntervalMilliseconds({rateLimit}: ProxyUpstream): number {
    const {requestsPerSecond = 0} = rateLimit.observation;
    const ofAllNodes = Math.max(
      OPTIONAL_REQUESTS_PER_SECOND,
      requestsPerSecond,
    );
    return (MILLISECONDS_PER_SECOND * this.options.countNodes()) / ofAllNodes;
  }

  private async exchange(
    upstream: ProxyUpstream,
    wantsToken: boolean,
  ): Promise<void> {
    const {rateLimit, description} = upstream;
    const response = await this.call({
      node: this.options.identity,
      process: description,
      observation: rateLimit.observation,
      wantsToken,
    });
    if (!response) {
      rateLimit.deferRequest(FAILURE_RETRY_MILLISECONDS);
      return;
    }
    rateLimit.recordTokenResponse(response);
    if (!wantsToken) return;
    const {isIssued, waitMilliseconds} = response;
    if (isIssued || !rateLimit.isLimited)
      setTimeout(this.options.onTokenValid, waitMilliseconds);
    else
      rateLimit.deferRequest(
        REQUEST_INTERVAL_PER_NODE_MILLISECONDS * this.options.countNodes(),
      );
  }

  /** Returns undefined if there is no issuer or it did not answer. */
  private async call(
    request: TokenRequest,
  ): Promise<TokenResponse | undefined> {
    const {chooseIssuer, identity, ownIssuer, transport, logger} = this.options;
    const issuer = chooseIssuer(request.process);
    if (issuer?.identity === identity) return ownIssuer.handle(request);
    if (!issuer) return undefined;
    const answer = await transport.requestToken(
      issuer.peerUrl,
      encodeTokenRequest(request),
    );
    if (answer.ok && answer.val.isIssuer)
      return decodeTokenResponse(answer.val);
    logger.info(
      {
        upstream: request.process.id,
        issuer: issuer.name,
        reason: answer.ok ? 'it is not the issuer' : answer.val.message,
      },
      'got no answer to a request for a token',
    );
    return undefined;
  }
}
