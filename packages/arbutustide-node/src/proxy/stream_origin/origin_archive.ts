import type {ObjectStore, StoreError} from '@arbutustide/object-store';
import type {StreamOrigin} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {
  ArchivedOrigins,
  StreamOriginStorage,
} from './stream_origin_storage.js';

import {delay} from '@arbutustide/errors';
import {Ok} from 'ts-results';

import {digestRequestId, includesDigest} from './request_digest.js';

/** The archive is read at most once in this time, unless a read failed. */
const LIST_INTERVAL_MILLISECONDS = 1_000;

type ListResult = Result<readonly ArchivedOrigins[], StoreError>;

/** What the archive says of a stream. */
export interface ArchiveAnswer {
  /** False if the archive cannot be read, or not within the time. */
  readonly isRead: boolean;
  readonly origin?: StreamOrigin;
}

/**
 * Reads the origins of streams that nodes have written to the object store, for
 * those that no live node knows.
 */
export class OriginArchive {
  private listing: Promise<ListResult> = Promise.resolve(Ok([]));
  private listedAtMilliseconds = -Infinity;
  private latest: readonly ArchivedOrigins[] = [];

  constructor(
    private readonly store: ObjectStore,
    private readonly storage: StreamOriginStorage,
    private readonly logger: NodeLogger,
  ) {}

  /** @param milliseconds limit on the time to read the archive. */
  async find(requestId: string, milliseconds: number): Promise<ArchiveAnswer> {
    const digest = digestRequestId(requestId);
    const known = this.findIn(this.latest, digest, requestId);
    if (known) return {isRead: true, origin: known};
    const now = performance.now();
    if (now - this.listedAtMilliseconds >= LIST_INTERVAL_MILLISECONDS) {
      this.listedAtMilliseconds = now;
      this.listing = this.list();
    }
    const listed = await Promise.race([this.listing, delay(milliseconds)]);
    if (typeof listed === 'boolean' || !listed.ok) return {isRead: false};
    const origin = this.findIn(listed.val, digest, requestId);
    return {isRead: true, origin};
  }

  private async list(): Promise<ListResult> {
    const {store, storage, logger} = this;
    const list = await store.list(storage.archivePrefix);
    if (!list.ok) {
      this.listedAtMilliseconds = -Infinity;
      logger.warn(
        {reason: list.val.message},
        'failed to read the archive of streams; those that no node knows are refused',
      );
      return list;
    }
    const groups: ArchivedOrigins[] = [];
    for (const {key, value} of list.val.objects) {
      const decoded = storage.decodeArchive(value);
      if (decoded.ok) {
        groups.push(...decoded.val);
        continue;
      }
      logger.warn(
        {key, reason: decoded.val.message},
        'failed to decode a part of the archive of streams; ignoring it',
      );
    }
    this.latest = groups;
    return Ok(groups);
  }

  /** Undefined also if the archive contradicts itself. */
  private findIn(
    groups: readonly ArchivedOrigins[],
    digest: string,
    requestId: string,
  ): StreamOrigin | undefined {
    let found: StreamOrigin | undefined;
    for (const {service, softwareVersion, digests} of groups) {
      if (!includesDigest(digests, digest)) continue;
      const isSame =
        !found ||
        (found.service === service &&
          found.softwareVersion === softwareVersion);
      if (!isSame) {
        this.logger.warn(
          {requestId},
          'the archive has two origins of one stream; it is not resumed',
        );
        return undefined;
      }
      found = {service, softwareVersion};
    }
    return found;
  }
}
