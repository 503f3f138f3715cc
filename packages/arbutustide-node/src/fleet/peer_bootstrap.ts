import type {PeerTransport} from '@arbutustide/membership';
import type {StoredObject} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';
import {z} from 'zod';

/** Time given to the store before peers are asked, in milliseconds. */
const STORE_GRACE_MILLISECONDS = 700;
/** Time between two rounds over the peers, in milliseconds. */
const PEER_ROUND_INTERVAL_MILLISECONDS = 300;

const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

/** What a node hands to a peer that starts while the store is away. */
const snapshotSchema = z.object({
  /** Time since the store last confirmed the upstreams, in milliseconds. */
  ageMilliseconds: z.number(),
  configuration: storedObjectSchema.optional(),
  upstreams: z.array(storedObjectSchema),
});

type Snapshot = z.infer<typeof snapshotSchema>;

/** Writes what this node has read from the store, for a peer that starts. */
export function serializeSnapshot(
  configuration: StoredObject | undefined,
  upstreams: readonly StoredObject[],
  ageMilliseconds: number,
): string {
  const snapshot: Snapshot = {
    ageMilliseconds: Math.round(ageMilliseconds),
    configuration,
    upstreams: [...upstreams],
  };
  return JSON.stringify(snapshot);
}

/** Takes configuration and upstreams from a peer while the store is away. */
export class PeerBootstrap {
  constructor(
    private readonly transport: PeerTransport,
    private readonly peerUrls: () => readonly string[],
    private readonly configurationWatcher: ConfigurationWatcher,
    private readonly upstreamWatcher: UpstreamWatcher,
    private readonly logger: NodeLogger,
  ) {}

  /** Asks peers until this node has a configuration and upstreams. */
  async run(signal: AbortSignal): Promise<void> {
    await delay(STORE_GRACE_MILLISECONDS, signal);
    while (!signal.aborted && !this.isComplete) {
      for (const url of this.peerUrls()) {
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
      this.logger.warn({peer: url}, "a peer's snapshot cannot be read");
      return;
    }
    const {configuration, upstreams, ageMilliseconds} = snapshot;
    this.logger.info(
      {peer: url, ageMilliseconds, upstreams: upstreams.length},
      'snapshot taken from a peer',
    );
    if (configuration) this.configurationWatcher.applyObject(configuration);
    this.upstreamWatcher.initializeFromPeer(upstreams);
  }
}

function parseSnapshot(text: string): Snapshot | undefined {
  try {
    return snapshotSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
