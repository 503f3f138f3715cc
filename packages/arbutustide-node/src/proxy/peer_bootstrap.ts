import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';
import {NodeState} from '@arbutustide/membership';

import {parseSnapshot} from './peer_snapshot.js';

/** Time for the object store to answer before peers are asked. */
const STORE_GRACE_MILLISECONDS = 700;
/** Pause between two rounds. */
const PEER_ROUND_INTERVAL_MILLISECONDS = 300;
/** Peers that are asked in a round, as some may not answer. */
const PEERS_PER_ROUND = 3;

/** What a node needs to learn from its peers as it starts. */
export interface PeerBootstrapDependencies {
  readonly transport: Pick<PeerTransport, 'fetchHead'>;
  readonly listPeers: () => readonly ClusterNode[];
  readonly configurationWatcher: Pick<
    ConfigurationWatcher,
    'routes' | 'applyObject'
  >;
  readonly upstreamWatcher: Pick<
    UpstreamWatcher,
    'isInitialized' | 'initializeFromPeer'
  >;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/**
 * Loads configuration and upstreams from a peer if the store does not answer
 * when this node starts. Only peers that serve callers are asked: when all nodes
 * start together, none can help another, and each would ask all.
 */
export class PeerBootstrap {
  constructor(private readonly dependencies: PeerBootstrapDependencies) {}

  /**
   * Asks a few peers, round after round, until this node has a configuration and
   * a list of upstreams, from peers or from the store.
   */
  async run(signal: AbortSignal): Promise<void> {
    await delay(STORE_GRACE_MILLISECONDS, signal);
    while (!signal.aborted && !this.isComplete) {
      for (const {peerUrl} of this.pickPeers()) {
        if (this.isComplete) return;
        await this.loadFromPeer(peerUrl);
      }
      await delay(PEER_ROUND_INTERVAL_MILLISECONDS, signal);
    }
  }

  private get isComplete(): boolean {
    const {configurationWatcher, upstreamWatcher} = this.dependencies;
    return (
      configurationWatcher.routes !== undefined && upstreamWatcher.isInitialized
    );
  }

  /** Random peers that serve callers. */
  private *pickPeers(): Generator<ClusterNode> {
    const {listPeers, random} = this.dependencies;
    const remaining = listPeers().filter(
      ({state}) => state === NodeState.READY,
    );
    for (let count = 0; count < PEERS_PER_ROUND; count += 1) {
      const index = Math.floor(random() * remaining.length);
      yield* remaining.splice(index, 1);
    }
  }

  private async loadFromPeer(url: string): Promise<void> {
    const {transport, configurationWatcher, upstreamWatcher, logger} =
      this.dependencies;
    const response = await transport.fetchHead(url);
    if (!response.ok) {
      logger.info(
        {peer: url, error: response.val.message},
        'failed to fetch the snapshot of a peer; trying other peers',
      );
      return;
    }
    if (response.val === '') return;
    const snapshot = parseSnapshot(response.val);
    if (!snapshot) {
      logger.warn(
        {peer: url},
        'failed to parse the snapshot of a peer; trying other peers',
      );
      return;
    }
    const {configuration, upstreams, ageMilliseconds} = snapshot;
    logger.info(
      {peer: url, ageMilliseconds, upstreams: upstreams.length},
      'received a snapshot from a peer',
    );
    if (configuration) configurationWatcher.applyObject(configuration, url);
    // A peer without a list of its own sends an empty one.
    if (upstreams.length > 0) upstreamWatcher.initializeFromPeer(upstreams);
  }
}
