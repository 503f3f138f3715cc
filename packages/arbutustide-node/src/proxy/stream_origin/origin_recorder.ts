import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {StreamOrigin, StreamOriginRecord} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {OriginArchiver} from './origin_archiver.js';
import type {OriginArchivers} from './origin_archivers.js';

import {RecordStreamOriginsRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {chooseOriginKeepers, TOLD_KEEPERS} from './choose_origin_keepers.js';

/** Records of this time are sent to a keeper in one call. */
const BATCH_MILLISECONDS = 200;

/** The ids of streams with the same origin. */
interface OriginGroup extends StreamOrigin {
  readonly requestIds: string[];
}

/** Where records of streams go. */
export interface OriginRecorderOptions {
  readonly ownUrl: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly archivers: OriginArchivers;
  /** Writes to the object store, where this node is its own archiver. */
  readonly archiver: OriginArchiver;
  readonly transport: PeerTransport;
  readonly logger: NodeLogger;
}

/**
 * Tells the keepers of streams that begin at this node where they began, and
 * one archiver, which writes it to the object store.
 */
export class OriginRecorder {
  /** Groups by origin, by the receiver's URL. */
  private batches = new Map<string, Map<string, OriginGroup>>();

  constructor(private readonly options: OriginRecorderOptions) {}

  /** Adds a record to the next batch of each of its receivers. */
  record(record: StreamOriginRecord): void {
    const {listNodes, archivers, archiver, ownUrl} = this.options;
    const {requestId, origin} = record;
    const keepers = chooseOriginKeepers(listNodes(), requestId, TOLD_KEEPERS);
    const [archiverUrl = ownUrl] = archivers.listUrls();
    if (archiverUrl === ownUrl) archiver.add(record);
    const urls = new Set([archiverUrl, ...keepers.map(node => node.peerUrl)]);
    urls.delete(ownUrl);
    if (this.batches.size === 0 && urls.size > 0)
      setTimeout(() => void this.sendBatches(), BATCH_MILLISECONDS);
    for (const peerUrl of urls) this.addToBatch(peerUrl, requestId, origin);
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
    const {archivers} = this.options;
    this.batches = new Map();
    const [archiverUrl] = archivers.listUrls();
    await Promise.all(
      [...batches].map(async ([peerUrl, batch]) => {
        const groups = [...batch.values()];
        const isSent = await this.send(peerUrl, groups);
        if (isSent || peerUrl !== archiverUrl) return;
        const spareUrl = archivers.listUrls().find(url => url !== peerUrl);
        if (spareUrl) await this.sendToSpare(spareUrl, groups);
      }),
    );
  }

  private async send(
    peerUrl: string,
    groups: readonly OriginGroup[],
  ): Promise<boolean> {
    const {transport, logger} = this.options;
    const result = await transport.recordStreamOrigins(
      peerUrl,
      create(RecordStreamOriginsRequestSchema, {groups: [...groups]}),
    );
    if (result.ok) return true;
    logger.info(
      {peerUrl, reason: result.val.message},
      'failed to tell a peer where streams began',
    );
    return false;
  }

  /** Archives elsewhere what this node's archiver did not take. */
  private async sendToSpare(
    spareUrl: string,
    groups: readonly OriginGroup[],
  ): Promise<void> {
    if (spareUrl !== this.options.ownUrl) {
      await this.send(spareUrl, groups);
      return;
    }
    for (const {requestIds, service, softwareVersion} of groups) {
      const origin = {service, softwareVersion};
      for (const requestId of requestIds)
        this.options.archiver.add({requestId, origin});
    }
  }
}
