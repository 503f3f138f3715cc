import type {
  ExchangeRequest,
  ExchangeResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {MemberTable, SequenceVector} from './member_table.js';
import type {PeerTransport} from './peer_transport.js';

import {delay} from '@arbutustide/errors';
import {create} from '@bufbuild/protobuf';

import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from './gen/arbutustide/membership/v1/membership_pb.js';
import {findNodeStatus} from './member_record.js';
import {toVector} from './member_table.js';
import {rendezvousPick} from './rendezvous_hash.js';

/** A node to exchange records with. */
export interface PeerAddress {
  readonly url: string;
  readonly failureDomain: string;
}

/** How often and with how many peers records are exchanged. */
export interface GossipOptions {
  readonly ownUrl: string;
  readonly ownFailureDomain: string;
  readonly intervalMilliseconds: number;
  readonly heartbeatMilliseconds: number;
  readonly maximumPeers: number;
  /** Uniform in [0, 1); spreads the exchanges over the interval. */
  readonly random: () => number;
}

/** The task that exchanges records with one peer. */
interface ExchangeLoop {
  readonly abortController: AbortController;
}

/** Exchanges records with a bounded number of peers, one task a peer. */
export class Gossip {
  private readonly exchangeLoops = new Map<string, ExchangeLoop>();
  /** What each peer had after the last exchange with it. */
  private readonly peerVectors = new Map<string, SequenceVector>();
  private readonly stopController = new AbortController();
  private listedPeers: readonly PeerAddress[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly transport: PeerTransport,
    private readonly options: GossipOptions,
  ) {}

  /** Starts the heartbeat and the tasks of the peers known. */
  start(): void {
    void this.runHeartbeat();
  }

  /** Ends all tasks. */
  stop(): void {
    this.stopController.abort();
    for (const task of this.exchangeLoops.values())
      task.abortController.abort();
  }

  /** Takes the platform's latest list of entry hosts. */
  setListed(peers: readonly PeerAddress[]): void {
    this.listedPeers = peers;
    this.updateExchangeLoops();
  }

  /** Answers a peer's exchange. */
  answer(request: ExchangeRequest): ExchangeResponse {
    this.table.merge(request.deltas);
    return create(ExchangeResponseSchema, {
      sender: this.table.own.identity,
      vector: this.table.vector(),
      deltas: this.table.deltasSince(toVector(request.vector)),
    });
  }

  /** Exchanges with every peer once, so that a change is known at once. */
  async spreadNow(): Promise<void> {
    const urls = [...this.exchangeLoops.keys()];
    await Promise.all(urls.map(url => this.exchange(url)));
  }

  /**
   * Tells an urgent change at once.
   *
   * @param maximumPeers most peers that are called; the rest hears of it later.
   */
  async spreadWide(maximumPeers: number): Promise<void> {
    const urls = this.knownPeers().keys();
    const {ownUrl} = this.options;
    const picked = rendezvousPick(ownUrl, urls, url => url, maximumPeers);
    await Promise.all(picked.map(url => this.exchange(url)));
  }

  private async runHeartbeat(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      this.table.own.beat();
      this.table.dropExpired();
      this.updateExchangeLoops();
      await delay(this.options.heartbeatMilliseconds, signal);
    }
  }

  /** Keeps one task for each chosen peer and ends the others. */
  private updateExchangeLoops(): void {
    if (this.stopController.signal.aborted) return;
    const chosen = new Set(this.selectPeerUrls());
    for (const [url, task] of this.exchangeLoops) {
      if (chosen.has(url)) continue;
      task.abortController.abort();
      this.exchangeLoops.delete(url);
    }
    this.pruneVectors();
    for (const url of chosen) {
      if (this.exchangeLoops.has(url)) continue;
      const task: ExchangeLoop = {abortController: new AbortController()};
      this.exchangeLoops.set(url, task);
      void this.runExchangeLoop(url, task.abortController.signal);
    }
  }

  /**
   * Half of the peers are taken from the own failure domain and half from the
   * others, by rendezvous hashing with the own address, which makes the graph
   * of exchanges a random one.
   */
  private selectPeerUrls(): string[] {
    const {ownUrl, ownFailureDomain, maximumPeers} = this.options;
    const known = [...this.knownPeers().values()];
    const near = known.filter(peer => peer.failureDomain === ownFailureDomain);
    const far = known.filter(peer => peer.failureDomain !== ownFailureDomain);
    const half = Math.ceil(maximumPeers / 2);
    const nearCount = Math.max(half, maximumPeers - far.length);
    const nearPicked = rendezvousPick(ownUrl, near, peerUrlOf, nearCount);
    const farCount = maximumPeers - nearPicked.length;
    const farPicked = rendezvousPick(ownUrl, far, peerUrlOf, farCount);
    return [...nearPicked, ...farPicked].map(({url}) => url);
  }

  private pruneVectors(): void {
    const known = this.knownPeers();
    for (const url of this.peerVectors.keys()) {
      if (!known.has(url)) this.peerVectors.delete(url);
    }
  }

  /** Peers by the platform's list and by the records, without this node. */
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
   * One exchange. What the peer has is forgotten after a failure, since another
   * process may have taken the address.
   */
  private async exchange(url: string): Promise<void> {
    const peerVector = this.peerVectors.get(url);
    const request = create(ExchangeRequestSchema, {
      sender: this.table.own.identity,
      vector: this.table.vector(),
      deltas: peerVector
        ? this.table.deltasSince(peerVector)
        : this.ownRecordDelta(),
    });
    const answer = await this.transport.exchange(url, request);
    if (!answer.ok) {
      this.peerVectors.delete(url);
      return;
    }
    this.table.merge(answer.val.deltas);
    this.peerVectors.set(url, toVector(answer.val.vector));
  }

  /** To a peer of which nothing is known only the own record is sent. */
  private ownRecordDelta() {
    const others = [...this.table.peerRecords()];
    const known = new Map(others.map(item => [item.identity, item.sequence]));
    return this.table.deltasSince(known);
  }

  private jitteredInterval(): number {
    const {intervalMilliseconds, random} = this.options;
    return intervalMilliseconds * (0.75 + random() / 2);
  }
}

function peerUrlOf(peer: PeerAddress): string {
  return peer.url;
}
