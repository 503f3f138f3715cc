import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {StreamOrigin, StreamOriginRecord} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {RecordStreamOriginsRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {chooseOriginKeepers, TOLD_KEEPERS} from './choose_origin_keepers.js';

/** Records of this time are sent to a keeper in one call. */
const BATCH_MILLISECONDS = 200;

/** The ids of streams with the same origin. */
interface OriginGroup extends StreamOrigin {
  readonly requestIds: string[];
}

/** Tells the keepers of streams that begin at this node where they began. */
export class OriginRecorder {
  /** Groups by origin, by the keeper's URL. */
  private batches = new Map<string, Map<string, OriginGroup>>();

  constructor(
    private readonly ownUrl: string,
    private readonly listNodes: () => readonly ClusterNode[],
    private readonly transport: PeerTransport,
    private readonly logger: NodeLogger,
  ) {}

  /** Adds a record to the next batch of each of its keepers. */
  record({requestId, origin}: StreamOriginRecord): void {
    const keepers = chooseOriginKeepers(
      this.listNodes(),
      requestId,
      TOLD_KEEPERS,
    );
    if (this.batches.size === 0)
      setTimeout(() => void this.sendBatches(), BATCH_MILLISECONDS);
    for (const {peerUrl} of keepers) {
      if (peerUrl !== this.ownUrl) this.addToBatch(peerUrl, requestId, origin);
    }
  }

  private addToBatch(
    peerUrl: string,
    requestId: string,
    origin: StreamOrigin,
  ): void {
    const groups = this.batches.get(peerUrl) ?? new Map<string, OriginGroup>();
    this.batches.set(peerUrl, groups);
    const key = `${origin.service} ${origin.softwareVersion}`;
    const group = groups.get(key) ?? {...origin, requestIds: []};
    groups.set(key, group);
    group.requestIds.push(requestId);
  }

  private async sendBatches(): Promise<void> {
    const {batches} = this;
    this.batches = new Map();
    await Promise.all(
      [...batches].map(async ([peerUrl, groups]) => {
        const result = await this.transport.recordStreamOrigins(
          peerUrl,
          create(RecordStreamOriginsRequestSchema, {
            groups: [...groups.values()],
          }),
        );
        if (result.ok) return;
        this.logger.info(
          {peerUrl, reason: result.val.message},
          'failed to tell a peer where streams began',
        );
      }),
    );
  }
}
