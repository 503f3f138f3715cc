import type {
  ClusterNode,
  PeerTransport,
  RequestTokenRequest,
} from '@arbutustide/membership';
import type {UpstreamProcess} from '@arbutustide/routing';

import {
  NodeState,
  PeerError,
  RequestTokenResponseSchema,
} from '@arbutustide/membership';
import {ProxyUpstream, TokenIssuer, UpstreamState} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

import {chooseTokenIssuer} from '../../proxy/rate_limit/choose_token_issuer.js';
import {ReachableShare} from '../../proxy/rate_limit/reachable_share.js';
import {
  decodeTokenRequest,
  encodeTokenResponse,
} from '../../proxy/rate_limit/token_messages.js';
import {TokenRequester} from '../../proxy/rate_limit/token_requester.js';

/** Time until a message arrives at another node. */
const LATENCY_MILLISECONDS = 6;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Time until nodes see that another one is gone, at least and at most. */
const LEAST_DETECTION_MILLISECONDS = 3_500;
const DETECTION_SPREAD_MILLISECONDS = 1_500;
/** Nodes assumed by a node that knows no other, unless it is the only one. */
const INITIAL_NODE_COUNT = 8;

/** The process of the upstream that limits its rate. */
export const LIMITED_PROCESS: UpstreamProcess = {id: 'limited', startedAt: 1};

/** One node, which sees the others with a delay. */
export class RateLimitedNode {
  readonly upstream = createUpstream();
  readonly requester: TokenRequester;
  readonly peerUrl: string;
  /** The part of a partition that the node is in. */
  part = 0;
  private issuer: TokenIssuer;
  private readonly reachableShare: ReachableShare;
  private visibleNodes: readonly RateLimitedNode[] = [];

  constructor(
    private readonly cluster: RateLimitedCluster,
    readonly name: string,
  ) {
    this.peerUrl = `http://${name}`;
    this.reachableShare = new ReachableShare(
      () => this.visibleNodes.length,
      cluster.nodeCount === 1 ? 1 : INITIAL_NODE_COUNT,
    );
    this.issuer = this.createIssuer();
    this.requester = new TokenRequester({
      identity: name,
      chooseIssuer: () => this.chooseIssuer(),
      countNodes: () => this.visibleNodes.length,
      ownIssuer: {
        handle: request => this.issuer.handle(request),
      } as TokenIssuer,
      transport: {
        requestToken: (url: string, request: RequestTokenRequest) =>
          cluster.call(this, url, request),
      } as unknown as PeerTransport,
      onTokenValid: () => {},
      logger: silentLogger(),
    });
  }

  /** Sets the nodes that this one knows. */
  see(nodes: readonly RateLimitedNode[]): void {
    this.visibleNodes = nodes;
    this.reachableShare.update();
  }

  /** Replaces the process: it knows nothing of the tokens it has issued. */
  restart(): void {
    this.issuer = this.createIssuer();
  }

  chooseIssuer(): ClusterNode | undefined {
    return chooseTokenIssuer(
      this.visibleNodes.map(node => node.toClusterNode()),
      LIMITED_PROCESS,
    );
  }

  /** Answers a peer; undefined if this node is not the issuer. */
  issueToken(request: RequestTokenRequest) {
    if (this.chooseIssuer()?.identity !== this.name) return undefined;
    return encodeTokenResponse(this.issuer.handle(decodeTokenRequest(request)));
  }

  /** Asks for a token, without a request that uses it. */
  requestToken(): void {
    this.requester.request(this.upstream, true);
  }

  /** Sends a request to the upstream if this node has a token for it. */
  trySend(): boolean {
    const {rateLimit} = this.upstream;
    if (!rateLimit.allowsRequest) {
      this.requester.request(this.upstream, true);
      return false;
    }
    rateLimit.takeToken();
    const before = rateLimit.observation.requestsPerSecond;
    const {requestsPerSecond} = this.cluster;
    rateLimit.record({requestsPerSecond, atMilliseconds: performance.now()});
    if (before !== requestsPerSecond) this.requester.report(this.upstream);
    // The next request is waiting.
    this.requester.request(this.upstream, true);
    return true;
  }

  private createIssuer(): TokenIssuer {
    return new TokenIssuer(() => this.reachableShare.update());
  }

  private toClusterNode(): ClusterNode {
    return {
      identity: this.name,
      name: this.name,
      peerUrl: this.peerUrl,
      region: 'region',
      failureDomain: 'domain',
      state: NodeState.READY,
      catalogueRevision: 1,
      plannerEpoch: 0,
      protocolLevel: 1,
    };
  }
}

/** Nodes that share an upstream with a rate limit, on a simulated network. */
export class RateLimitedCluster {
  readonly nodes: RateLimitedNode[];

  constructor(
    readonly nodeCount: number,
    readonly requestsPerSecond: number,
  ) {
    this.nodes = Array.from(
      {length: nodeCount},
      (_, index) => new RateLimitedNode(this, `node-${index}`),
    );
    for (const node of this.nodes) node.see(this.nodes);
  }

  /** The node that issues the tokens while all nodes are known. */
  get issuer(): RateLimitedNode {
    const identity = this.nodes[0].chooseIssuer()?.identity;
    return this.nodes.find(({name}) => name === identity) ?? this.nodes[0];
  }

  /** Cuts the nodes into parts, which notice it after a while. */
  partition(partOf: (node: RateLimitedNode) => number): void {
    for (const node of this.nodes) node.part = partOf(node);
    for (const [index, node] of this.nodes.entries()) {
      const visible = this.nodes.filter(({part}) => part === node.part);
      const delay =
        LEAST_DETECTION_MILLISECONDS +
        (DETECTION_SPREAD_MILLISECONDS * index) / this.nodes.length;
      setTimeout(() => node.see(visible), delay);
    }
  }

  async call(
    from: RateLimitedNode,
    peerUrl: string,
    request: RequestTokenRequest,
  ) {
    const callee = this.nodes.find(node => node.peerUrl === peerUrl);
    if (!callee || callee.part !== from.part) {
      await pause(CALL_TIMEOUT_MILLISECONDS);
      return Err(new PeerError(peerUrl, 'no answer'));
    }
    await pause(LATENCY_MILLISECONDS);
    const response = callee.issueToken(request);
    await pause(LATENCY_MILLISECONDS);
    return Ok(
      create(RequestTokenResponseSchema, {
        isIssuer: response !== undefined,
        ...response,
      }),
    );
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function createUpstream(): ProxyUpstream {
  return new ProxyUpstream({
    ...LIMITED_PROCESS,
    service: 'service',
    address: '10.0.0.1:80',
    failureDomain: 'domain',
    softwareVersion: 'v1',
    state: UpstreamState.READY,
    slots: 64,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
  });
}
