import type {
  ObjectStore,
  StoredObject,
  StoreError,
} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {StreamOriginStorage} from './stream_origin_storage.js';

import {delay} from '@arbutustide/errors';
import {settleWithin} from '@arbutustide/event-loop';
import {Err, Ok} from 'ts-results';

/** A failed read is not repeated in this time; the store may be overloaded. */
const FAILURE_MILLISECONDS = 500;
/** Pause between two reads while the history of a service is being created. */
const REREAD_MILLISECONDS = 100;

/** The history of one service's versions, as this node last read it. */
export interface HistoryEntry {
  readonly key: string;
  /** Version of the stored object. */
  readonly objectVersion: number;
  readonly softwareVersions: ReadonlySet<string>;
}

/** Dependencies of the history of versions. */
export interface VersionHistoryOptions {
  readonly store: ObjectStore;
  readonly storage: StreamOriginStorage;
  /** Called for versions that this node did not know to be in the history. */
  readonly onDiscovered: (
    service: string,
    softwareVersions: readonly string[],
  ) => void;
  readonly logger: NodeLogger;
}

/**
 * The versions at which streams may have begun, as the object store has them.
 * Survives the loss of all nodes. Read once when a node starts, and before each
 * change; live nodes see changes in the list of upstreams themselves.
 */
export class VersionHistory {
  private entriesByService = new Map<string, HistoryEntry>();
  private pendingRead: Promise<Result<void, StoreError>> | undefined;
  private hasBeenRead = false;
  private failedAtMilliseconds = -Infinity;
  /** Begin of the latest read that has succeeded. */
  private readAtMilliseconds = -Infinity;

  constructor(private readonly options: VersionHistoryOptions) {}

  /** Whether the history was read since this process started. */
  get isRead(): boolean {
    return this.hasBeenRead;
  }

  /** Histories by service. */
  get entries(): ReadonlyMap<string, HistoryEntry> {
    return this.entriesByService;
  }

  /** Reads the histories of all services; calls at the same time share one. */
  read(): Promise<Result<void, StoreError>> {
    this.pendingRead ??= this.readOnce().finally(() => {
      this.pendingRead = undefined;
    });
    return this.pendingRead;
  }

  /**
   * Waits until the history of a service is known.
   *
   * @param readAfterMilliseconds a read that began earlier does not do.
   * @return false if it cannot be read, or not within the time.
   */
  async confirm(
    service: string,
    readAfterMilliseconds: number,
    milliseconds: number,
  ): Promise<boolean> {
    const endAt = performance.now() + milliseconds;
    const isKnown = () =>
      this.entriesByService.has(service) &&
      this.readAtMilliseconds >= readAfterMilliseconds;
    while (!isKnown()) {
      const remaining = endAt - performance.now();
      if (remaining <= 0 || this.hasFailedRecently) return false;
      const result = await settleWithin(this.read(), remaining);
      if (!result?.ok) return false;
      // Some node is about to create it.
      if (!this.entriesByService.has(service)) await delay(REREAD_MILLISECONDS);
    }
    return true;
  }

  /** Takes over an object that this node has written. */
  apply(object: StoredObject): void {
    const {storage, onDiscovered, logger} = this.options;
    const decoded = storage.decodeHistory(object.value);
    if (!decoded.ok) {
      logger.warn(
        {key: object.key, reason: decoded.val.message},
        'failed to decode the history of a service; its streams are resumed only where their origin is known',
      );
      return;
    }
    const {service, softwareVersions} = decoded.val;
    const known = this.entriesByService.get(service)?.softwareVersions;
    this.entriesByService.set(service, {
      key: object.key,
      objectVersion: object.version,
      softwareVersions: new Set(softwareVersions),
    });
    const discovered = softwareVersions.filter(version => !known?.has(version));
    if (discovered.length > 0) onDiscovered(service, discovered);
  }

  private get hasFailedRecently(): boolean {
    const age = performance.now() - this.failedAtMilliseconds;
    return age < FAILURE_MILLISECONDS;
  }

  private async readOnce(): Promise<Result<void, StoreError>> {
    const beganAtMilliseconds = performance.now();
    const {store, storage, logger} = this.options;
    const list = await store.list(storage.historyPrefix);
    if (!list.ok) {
      this.failedAtMilliseconds = performance.now();
      logger.info(
        {reason: list.val.message},
        'failed to read the histories of versions',
      );
      return Err(list.val);
    }
    const listedKeys = new Set(list.val.objects.map(({key}) => key));
    // The store may have been restored from a copy that lacks them.
    for (const [service, {key}] of this.entriesByService) {
      if (!listedKeys.has(key)) this.entriesByService.delete(service);
    }
    for (const object of list.val.objects) this.apply(object);
    this.hasBeenRead = true;
    this.readAtMilliseconds = beganAtMilliseconds;
    return Ok(undefined);
  }
}
