import type {PeerTransport} from '@arbutustide/membership';
import type {StoredObject} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

import {delay} from '@arbutustide/errors';
import {z} from 'zod';

/** Time given to the store before peers are asked, in milliseconds. */
const STORE_FIRST_MILLISECONDS = 700;
/** Time between two rounds over the peers, in milliseconds. */
const ROUND_MILLISECONDS = 300;

const objectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

/** What a node hands to a peer that starts while the store is away. */
const snapshotSchema = z.object({
  /** Time since the store last confirmed the upstreams, in milliseconds. */
  ageMilliseconds: z.number(),
  configuration: objectSchema.optional(),
  upstreams: z.array(objectSchema),
});

type Snapshot = z.infer<typeof snapshotSchema>;

/** Writes what this node has read from the store, for a peer that starts. */
export function formatSnapshot(
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
    private readonly configuration: ConfigurationWatcher,
    private readonly upstreams: UpstreamWatcher,
    private readonly logger: NodeLogger,
  ) {}

  /** Asks peers until this node has a configuration and upstreams. */
  async run(signal: AbortSignal): Promise<void> {
    await delay(STORE_FIRST_MILLISECONDS, signal);
    while (!signal.aborted && !this.isComplete) {
      for (const url of this.peerUrls()) {
        if (this.isComplete) return;
        await this.askPeer(url);
      }
      await delay(ROUND_MILLISECONDS, signal);
    }
  }

  private get isComplete(): boolean {
    return this.configuration.routes !== undefined && this.upstreams.hasList;
  }

  private async askPeer(url: string): Promise<void> {
    const answer = await this.transport.fetchHead(url);
    if (!answer.ok || answer.val === '') return;
    const snapshot = parseSnapshot(answer.val);
    if (!snapshot) {
      this.logger.warn({peer: url}, "a peer's snapshot cannot be read");
      return;
    }
    const {configuration, upstreams, ageMilliseconds} = snapshot;
    this.logger.info(
      {peer: url, ageMilliseconds, upstreams: upstreams.length},
      'snapshot taken from a peer',
    );
    if (configuration) this.configuration.take(configuration);
    this.upstreams.takeFromPeer(upstreams);
  }
}

function parseSnapshot(text: string): Snapshot | undefined {
  try {
    return snapshotSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
