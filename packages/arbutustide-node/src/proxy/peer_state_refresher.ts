import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {
  SnapshotSource,
  SnapshotSourceChooser,
} from './snapshot_source_chooser.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';

import {parseSnapshot} from './peer_snapshot.js';
import {SnapshotReason} from './snapshot_source_chooser.js';

/** Interval at which this node's state is compared with that of its peers. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/** Pause after a snapshot, which is large compared with other messages. */
const SNAPSHOT_INTERVAL_MILLISECONDS = 1_000;

/** Whether a peer's knowledge is of use whatever its age. */
const IS_ANY_AGE_USEFUL: Readonly<Record<SnapshotReason, boolean>> = {
  [SnapshotReason.CONFIGURATION_BEHIND]: true,
  [SnapshotReason.UPSTREAMS_STALE]: false,
};

/** Peers of a node and what it has read itself. */
export interface PeerStateRefresherDependencies {
  readonly transport: PeerTransport;
  readonly listPeers: () => readonly ClusterNode[];
  readonly configurationWatcher: ConfigurationWatcher;
  readonly upstreamWatcher: UpstreamWatcher;
  readonly chooser: SnapshotSourceChooser;
  /** Age from which a peer's list of upstreams is not fetched. */
  readonly maximumAgeMilliseconds: number;
  readonly logger: NodeLogger;
}

/**
 * Learns from peers what this node cannot read from the store: a newer
 * configuration, and upstreams while its own path to the store is lost.
 */
export class PeerStateRefresher {
  constructor(private readonly dependencies: PeerStateRefresherDependencies) {}

  /** Compares and fetches until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {chooser, listPeers} = this.dependencies;
    while (await delay(CHECK_INTERVAL_MILLISECONDS, signal)) {
      const source = chooser.choose(this.ownState(), listPeers());
      if (!source) continue;
      await this.loadFrom(source);
      await delay(SNAPSHOT_INTERVAL_MILLISECONDS, signal);
    }
  }

  private ownState() {
    const {configurationWatcher, upstreamWatcher} = this.dependencies;
    return {
      configurationVersion:
        configurationWatcher.routes?.configuration.version ?? 0,
      upstreamsAgeMilliseconds: upstreamWatcher.silentMilliseconds,
    };
  }

  private async loadFrom({peer, reason}: SnapshotSource): Promise<void> {
    const {
      transport,
      configurationWatcher,
      upstreamWatcher,
      maximumAgeMilliseconds,
      logger,
    } = this.dependencies;
    const {peerUrl} = peer;
    const response = await transport.fetchHead(
      peerUrl,
      IS_ANY_AGE_USEFUL[reason] ? undefined : maximumAgeMilliseconds,
    );
    if (!response.ok) {
      logger.info(
        {peer: peerUrl, reason, error: response.val.message},
        'failed to fetch the snapshot of a peer; trying another one',
      );
      return;
    }
    if (response.val === '') return;
    const snapshot = parseSnapshot(response.val);
    if (!snapshot) {
      logger.warn(
        {peer: peerUrl},
        'failed to parse the snapshot of a peer; trying another one',
      );
      return;
    }
    const {configuration, upstreams, ageMilliseconds} = snapshot;
    if (configuration) configurationWatcher.applyObject(configuration, peerUrl);
    const mergedUpstreams =
      ageMilliseconds < upstreamWatcher.silentMilliseconds
        ? upstreamWatcher.mergeFromPeer(upstreams)
        : 0;
    logger.info(
      {peer: peerUrl, reason, ageMilliseconds, mergedUpstreams},
      'read the snapshot of a peer',
    );
  }
}
