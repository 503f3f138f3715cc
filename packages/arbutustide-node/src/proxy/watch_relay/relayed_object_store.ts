import type {
  PeerTransport,
  WatchResponse,
  WatchResponseFields,
} from '@arbutustide/membership';
import type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreError,
  StoreResult,
  WatchBatch,
} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import {delay} from '@arbutustide/errors';
import {PeerError, WatchRequestSchema} from '@arbutustide/membership';
import {mergeBatches, StoreErrorKind} from '@arbutustide/object-store';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';
import {z} from 'zod';

import {storedObjectSchema} from '../stored_object_schema.js';
import {WatchLog} from './watch_log.js';

/** Pause before a relay that failed is tried again. */
const RELAY_RETRY_MILLISECONDS = 5_000;

const batchesSchema = z.array(
  z.object({
    changes: z.array(storedObjectSchema),
    deletedKeys: z.array(z.string()),
    version: z.number().int(),
  }),
);

/**
 * Time for which the store is not watched after it has turned a watch away, if a
 * peer of another failure domain can serve it; doubles with each refusal.
 */
const STORE_RETRY_MILLISECONDS = 500;
const MAXIMUM_STORE_RETRY_MILLISECONDS = 2_000;
const PEER_CHECK_MILLISECONDS = 100;

/** Settings of a relayed store. */
export interface RelayedObjectStoreOptions {
  /** URLs of the peers to watch through, best first; empty to watch alone. */
  readonly listRelayUrls: () => readonly string[];
  /**
   * URLs of peers in other failure domains that watch the store, best first. They
   * are used while the store does not serve this node.
   */
  readonly listDistantRelayUrls: () => readonly string[];
  /**
   * Time after the start for which this node waits for a relay before it watches
   * the store itself: it does not know its peers yet. None if absent.
   */
  readonly startGraceMilliseconds?: number;
  /** Time for which a relay may hold a watch open without changes. */
  readonly relayWaitMilliseconds: number;
  /**
   * Age of a relay's knowledge from which this node watches the store itself.
   * The relay is then cut off from the store, or the store does not answer.
   */
  readonly maximumAgeMilliseconds: number;
  /** Removes from an object what must not pass between nodes. */
  readonly redact: (object: StoredObject) => StoredObject;
}

/**
 * Object store whose watches go through a peer if possible, because each call
 * to the store has a cost. Every node also serves its own watches to peers, as
 * it may be chosen by a peer with another view of the cluster. All other calls,
 * and watches that the peer cannot serve, go to the store.
 */
export class RelayedObjectStore implements ObjectStore {
  private readonly logs = new Map<string, WatchLog>();
  private readonly avoidedUntilMilliseconds = new Map<string, number>();
  private storeRetryMilliseconds = 0;
  private readonly graceEndMilliseconds: number;
  private storeAvoidedUntilMilliseconds = -Infinity;

  constructor(
    private readonly store: ObjectStore,
    private readonly transport: PeerTransport,
    private readonly options: RelayedObjectStoreOptions,
    private readonly logger: NodeLogger,
  ) {
    this.graceEndMilliseconds =
      performance.now() + (options.startGraceMilliseconds ?? 0);
  }

  get eraStartVersion(): number {
    return this.store.eraStartVersion;
  }

  get(key: string): StoreResult<StoredObject> {
    return this.store.get(key);
  }

  async list(prefix: string): StoreResult<StoredList> {
    const listed = await this.store.list(prefix);
    if (listed.ok) this.logOf(prefix).reset(listed.val.version);
    return listed;
  }

  create(key: string, value: unknown): StoreResult<StoredObject> {
    return this.store.create(key, value);
  }

  update(
    key: string,
    value: unknown,
    version: number,
  ): StoreResult<StoredObject> {
    return this.store.update(key, value, version);
  }

  delete(key: string, version: number): StoreResult<void> {
    return this.store.delete(key, version);
  }

  async watch(
    prefix: string,
    afterVersion: number,
    signal: AbortSignal,
    waitMilliseconds?: number,
  ): StoreResult<WatchBatch> {
    const {listRelayUrls, listDistantRelayUrls} = this.options;
    await this.waitForPeers(signal);
    const relayed =
      (await this.watchThroughOne(listRelayUrls(), prefix, afterVersion)) ??
      (performance.now() < this.storeAvoidedUntilMilliseconds
        ? await this.watchThroughOne(
            listDistantRelayUrls(),
            prefix,
            afterVersion,
          )
        : undefined);
    if (relayed) return Ok(relayed);
    const batch = await this.store.watch(
      prefix,
      afterVersion,
      signal,
      waitMilliseconds,
    );
    this.recordStoreResponse(batch);
    if (batch.ok) this.appendToLog(prefix, batch.val, 0);
    return batch;
  }

  /** Serves a watch of a peer from what this node has received itself. */
  async serveWatch(
    prefix: string,
    afterVersion: number,
    waitMilliseconds: number,
  ): Promise<WatchResponseFields | undefined> {
    const changes = await this.logOf(prefix).waitForChanges(
      afterVersion,
      waitMilliseconds,
      this.options.maximumAgeMilliseconds,
    );
    if (!changes) return undefined;
    const {batches, version, ageMilliseconds} = changes;
    return {batchesJson: JSON.stringify(batches), version, ageMilliseconds};
  }

  /** Returns undefined if the relay lacks changes after the version. */
  private async watchThrough(
    relayUrl: string,
    prefix: string,
    afterVersion: number,
  ): Promise<Result<WatchBatch | undefined, PeerError>> {
    const {relayWaitMilliseconds, maximumAgeMilliseconds} = this.options;
    const sentAt = performance.now();
    const response = await this.transport.watch(
      relayUrl,
      create(WatchRequestSchema, {
        prefix,
        afterVersion,
        waitMilliseconds: relayWaitMilliseconds,
      }),
      maximumAgeMilliseconds,
    );
    if (!response.ok) return response;
    if (!response.val.isServed) return Ok(undefined);
    const {ageMilliseconds} = response.val;
    const batch = parseBatch(response.val);
    // An age that is no time would pass all bounds on it.
    if (!batch || !(ageMilliseconds >= 0))
      return Err(new PeerError(relayUrl, 'malformed changes'));
    if (ageMilliseconds > maximumAgeMilliseconds) {
      return Err(
        new PeerError(
          relayUrl,
          `the store last answered the relay ${Math.round(ageMilliseconds)} ms ago`,
        ),
      );
    }
    // An answer without changes confirms the time at which it was sent.
    const elapsed = performance.now() - sentAt;
    this.appendToLog(prefix, batch, ageMilliseconds + elapsed);
    return Ok(batch);
  }

  private async waitForPeers(signal: AbortSignal): Promise<void> {
    while (
      performance.now() < this.graceEndMilliseconds &&
      this.options.listRelayUrls().length === 0
    )
      if (!(await delay(PEER_CHECK_MILLISECONDS, signal))) return;
  }

  /** Watches through the first relay that is usable; undefined if it fails. */
  private async watchThroughOne(
    relayUrls: readonly string[],
    prefix: string,
    afterVersion: number,
  ): Promise<WatchBatch | undefined> {
    const now = performance.now();
    const relayUrl = relayUrls.find(
      url => now >= (this.avoidedUntilMilliseconds.get(url) ?? 0),
    );
    if (relayUrl === undefined) return undefined;
    const relayed = await this.watchThrough(relayUrl, prefix, afterVersion);
    if (!relayed.ok) {
      this.avoid(relayUrl, prefix, relayed.val);
      return undefined;
    }
    return relayed.val && {...relayed.val, isRelayed: true};
  }

  /** Avoids a store that turns watches away for a time that doubles. */
  private recordStoreResponse(response: Result<WatchBatch, StoreError>): void {
    if (response.ok || response.val.kind === StoreErrorKind.HISTORY_GONE) {
      this.storeRetryMilliseconds = 0;
      return;
    }
    this.storeRetryMilliseconds = Math.min(
      MAXIMUM_STORE_RETRY_MILLISECONDS,
      this.storeRetryMilliseconds * 2 || STORE_RETRY_MILLISECONDS,
    );
    this.storeAvoidedUntilMilliseconds =
      performance.now() + this.storeRetryMilliseconds;
  }

  private avoid(relayUrl: string, prefix: string, error: PeerError): void {
    const now = performance.now();
    for (const [url, until] of this.avoidedUntilMilliseconds) {
      if (until < now) this.avoidedUntilMilliseconds.delete(url);
    }
    this.avoidedUntilMilliseconds.set(relayUrl, now + RELAY_RETRY_MILLISECONDS);
    this.logger.info(
      {relay: relayUrl, prefix, reason: error.message},
      'watching the store without the relay',
    );
  }

  private appendToLog(prefix: string, batch: WatchBatch, age: number): void {
    const changes = batch.changes.map(this.options.redact);
    this.logOf(prefix).append({...batch, changes}, age);
  }

  private logOf(prefix: string): WatchLog {
    const existing = this.logs.get(prefix);
    if (existing) return existing;
    const log = new WatchLog();
    this.logs.set(prefix, log);
    return log;
  }
}

/** Merges the changes of an answer; undefined if it is malformed. */
function parseBatch({
  batchesJson,
  version,
}: WatchResponse): WatchBatch | undefined {
  const batches = batchesSchema.safeParse(parseJson(batchesJson));
  return batches.success ? mergeBatches(batches.data, version) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
