import type {PeerTransport} from '@arbutustide/membership';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';

import {parseSnapshot} from './peer_snapshot.js';

/** Time for the object store to answer before peers are asked. */
const STORE_GRACE_MILLISECONDS = 700;
/** Pause between two rounds over all peers. */
const PEER_ROUND_INTERVAL_MILLISECONDS = 300;

/**
 * Loads configuration and upstreams from a peer if the store does not answer
 * when this node starts.
 */
export class PeerBootstrap {
  constructor(
    private readonly transport: PeerTransport,
    private readonly listPeerUrls: () => readonly string[],
    private readonly configurationWatcher: ConfigurationWatcher,
    private readonly upstreamWatcher: UpstreamWatcher,
    private readonly logger: NodeLogger,
  ) {}

  /**
   * Asks one peer after another until this node has a configuration and a list
   * of upstreams, from peers or from the store.
   */
  async run(signal: AbortSignal): Promise<void> {
    await delay(STORE_GRACE_MILLISECONDS, signal);
    while (!signal.aborted && !this.isComplete) {
      for (const url of this.listPeerUrls()) {
        if (this.isComplete) return;
        await this.loadFromPeer(url);
      }
      await delay(PEER_ROUND_INTERVAL_MILLISECONDS, signal);
    }
  }

  private get isComplete(): boolean {
    return (
      this.configurationWatcher.routes !== undefined &&
      this.upstreamWatcher.isInitialized
    );
  }

  private async loadFromPeer(url: string): Promise<void> {
    const response = await this.transport.fetchHead(url);
    if (!response.ok || response.val === '') return;
    const snapshot = parseSnapshot(response.val);
    if (!snapshot) {
      this.logger.warn(
        {peer: url},
        'failed to parse the snapshot of a peer; trying other peers',
      );
      return;
    }
    const {configuration, upstreams, ageMilliseconds} = snapshot;
    this.logger.info(
      {peer: url, ageMilliseconds, upstreams: upstreams.length},
      'received a snapshot from a peer',
    );
    if (configuration)
      this.configurationWatcher.applyObject(configuration, url);
    this.upstreamWatcher.initializeFromPeer(upstreams);
  }
}
