import type {PeerTransport} from '@arbutustide/membership';
import type {StoredObject} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';
import {z} from 'zod';

/** Time for the object store to answer before peers are asked. */
const STORE_GRACE_MILLISECONDS = 700;
/** Pause between two rounds over all peers. */
const PEER_ROUND_INTERVAL_MILLISECONDS = 300;

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

/** State that a node gives to a peer that starts during a store outage. */
const peerSnapshotSchema = z.object({
  /** Time since the store last answered about upstreams, in milliseconds. */
  ageMilliseconds: z.number(),
  configuration: storedObjectSchema.optional(),
  upstreams: z.array(storedObjectSchema),
});

type PeerSnapshot = z.infer<typeof peerSnapshotSchema>;

/**
 * Serializes what this node has read from the store as JSON, for a peer that
 * starts during an outage.
 */
export function serializeSnapshot(
  configuration: StoredObject | undefined,
  upstreams: readonly StoredObject[],
  ageMilliseconds: number,
): string {
  const snapshot: PeerSnapshot = {
    ageMilliseconds: Math.round(ageMilliseconds),
    configuration,
    upstreams: [...upstreams],
  };
  return JSON.stringify(snapshot);
}

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

function parseSnapshot(text: string): PeerSnapshot | undefined {
  try {
    return peerSnapshotSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
