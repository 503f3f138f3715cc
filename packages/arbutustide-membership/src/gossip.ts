import type {
  ExchangeRequest,
  ExchangeResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {KnownSequences, MemberTable} from './member_table.js';
import type {PeerTransport} from './peer_transport.js';

import {delay} from '@arbutustide/errors';
import {create} from '@bufbuild/protobuf';

import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import {
  parseSequences,
  readExchange,
  writeExchange,
} from './exchange_messages.js';
import {findNodeStatus} from './member_record.js';
import {selectByRendezvousHash} from './rendezvous_hash.js';

/** Address of a peer to exchange records with. */
export interface PeerAddress {
  readonly url: string;
  readonly failureDomain: string;
}

/** Settings of the gossip protocol. */
export interface GossipOptions {
  readonly ownUrl: string;
  readonly ownFailureDomain: string;
  /** Mean interval between two exchanges with the same peer. */
  readonly intervalMilliseconds: number;
  readonly heartbeatMilliseconds: number;
  /** Maximum number of peers that this node calls regularly. */
  readonly maximumPeers: number;
  /** Uniform in [0, 1); source of the jitter on the interval. */
  readonly random: () => number;
}

/** A running loop that exchanges records with one peer. */
interface ExchangeLoop {
  readonly controller: AbortController;
}

/**
 * Anti-entropy gossip: exchanges record deltas with a bounded number of peers,
 * in one loop per peer, and sends this node's heartbeats.
 */
export class Gossip {
  private readonly exchangeLoops = new Map<string, ExchangeLoop>();
  /** Sequences each peer had after the last exchange with it, by URL. */
  private readonly peerVectors = new Map<string, KnownSequences>();
  private readonly stopController = new AbortController();
  private listedPeers: readonly PeerAddress[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly transport: PeerTransport,
    private readonly options: GossipOptions,
  ) {}

  /** Starts the heartbeat, which starts exchanges with known peers. */
  start(): void {
    void this.runHeartbeat();
  }

  /** Stops the heartbeat and all exchanges. */
  stop(): void {
    this.stopController.abort();
    for (const loop of this.exchangeLoops.values()) loop.controller.abort();
  }

  /** Sets the peers in the platform's latest host list. */
  setListedPeers(peers: readonly PeerAddress[]): void {
    this.listedPeers = peers;
    this.updateExchangeLoops();
  }

  /** Handles an exchange that a peer started. */
  handleExchange(request: ExchangeRequest): ExchangeResponse {
    readExchange(this.table, request);
    return create(ExchangeResponseSchema, {
      sender: this.table.ownRecord.identity,
      ...writeExchange(this.table, parseSequences(request.vector)),
    });
  }

  /**
   * Exchanges once with every selected peer without waiting for the interval,
   * so that a change spreads sooner.
   */
  async exchangeNow(): Promise<void> {
    const urls = [...this.exchangeLoops.keys()];
    await Promise.all(urls.map(url => this.exchange(url)));
  }

  /**
   * Exchanges once with known peers, selected or not, to spread an urgent
   * change.
   *
   * @param maximumPeers limit on the peers called; the others learn of the
   *     change by later gossip.
   */
  async broadcast(maximumPeers: number): Promise<void> {
    const urls = this.knownPeers().keys();
    const {ownUrl} = this.options;
    const selected = selectByRendezvousHash(
      ownUrl,
      urls,
      url => url,
      maximumPeers,
    );
    await Promise.all(selected.map(url => this.exchange(url)));
  }

  private async runHeartbeat(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      this.table.ownRecord.recordHeartbeat();
      this.table.dropExpired();
      this.updateExchangeLoops();
      await delay(this.options.heartbeatMilliseconds, signal);
    }
  }

  /** Runs one exchange loop per selected peer and stops all others. */
  private updateExchangeLoops(): void {
    if (this.stopController.signal.aborted) return;
    const selected = new Set(this.selectPeerUrls());
    for (const [url, loop] of this.exchangeLoops) {
      if (selected.has(url)) continue;
      loop.controller.abort();
      this.exchangeLoops.delete(url);
    }
    this.pruneVectors();
    for (const url of selected) {
      if (this.exchangeLoops.has(url)) continue;
      const loop: ExchangeLoop = {controller: new AbortController()};
      this.exchangeLoops.set(url, loop);
      void this.runExchangeLoop(url, loop.controller.signal);
    }
  }

  /**
   * Selects half of the peers from this node's failure domain and half from the
   * others; if the others are too few, more come from its own. Rendezvous
   * hashing keyed by this node's URL makes the graph of exchanges random.
   */
  private selectPeerUrls(): string[] {
    const {ownUrl, ownFailureDomain, maximumPeers} = this.options;
    const known = [...this.knownPeers().values()];
    const sameDomain = known.filter(
      peer => peer.failureDomain === ownFailureDomain,
    );
    const otherDomains = known.filter(
      peer => peer.failureDomain !== ownFailureDomain,
    );
    const half = Math.ceil(maximumPeers / 2);
    const sameDomainCount = Math.max(half, maximumPeers - otherDomains.length);
    const sameDomainPeers = selectByRendezvousHash(
      ownUrl,
      sameDomain,
      peerUrlOf,
      sameDomainCount,
    );
    const otherDomainCount = maximumPeers - sameDomainPeers.length;
    const otherDomainPeers = selectByRendezvousHash(
      ownUrl,
      otherDomains,
      peerUrlOf,
      otherDomainCount,
    );
    return [...sameDomainPeers, ...otherDomainPeers].map(({url}) => url);
  }

  private pruneVectors(): void {
    const known = this.knownPeers();
    for (const url of this.peerVectors.keys()) {
      if (!known.has(url)) this.peerVectors.delete(url);
    }
  }

  /** Peers from the host list and from gossip, by URL, without this node. */
  private knownPeers(): Map<string, PeerAddress> {
    const peers = new Map(this.listedPeers.map(peer => [peer.url, peer]));
    for (const record of this.table.peerRecords()) {
      const status = findNodeStatus(record);
      if (!status) continue;
      const {peerUrl: url, failureDomain} = status;
      peers.set(url, {url, failureDomain});
    }
    peers.delete(this.options.ownUrl);
    return peers;
  }

  private async runExchangeLoop(
    url: string,
    signal: AbortSignal,
  ): Promise<void> {
    await delay(this.jitteredInterval() / 2, signal);
    while (!signal.aborted) {
      await this.exchange(url);
      await delay(this.jitteredInterval(), signal);
    }
  }

  /**
   * Runs one exchange with a peer. After a failure the peer's sequences are
   * discarded, because another process may have taken over the address.
   */
  private async exchange(url: string): Promise<void> {
    const peerVector = this.peerVectors.get(url);
    const request = create(ExchangeRequestSchema, {
      sender: this.table.ownRecord.identity,
      ...writeExchange(this.table, peerVector ?? this.allButOwnRecord()),
    });
    const answer = await this.transport.exchange(url, request);
    if (!answer.ok) {
      this.peerVectors.delete(url);
      return;
    }
    readExchange(this.table, answer.val);
    this.peerVectors.set(url, parseSequences(answer.val.vector));
  }

  /** For a peer with unknown sequences, which is sent this node's record. */
  private allButOwnRecord(): KnownSequences {
    const others = [...this.table.peerRecords()];
    return new Map(others.map(item => [item.identity, item.sequence]));
  }

  private jitteredInterval(): number {
    const {intervalMilliseconds, random} = this.options;
    return intervalMilliseconds * (0.75 + random() / 2);
  }
}

function peerUrlOf(peer: PeerAddress): string {
  return peer.url;
}
