import type {ClusterNode} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {StreamOriginStorage} from './stream_origin_storage.js';
import type {VersionHistory} from './version_history.js';

import {delay} from '@arbutustide/errors';
import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';
import {StoreErrorKind} from '@arbutustide/object-store';

import {joinUrls} from './origin_archivers.js';

/** Versions of the software of upstreams, by service. */
export type VersionsByService = ReadonlyMap<string, ReadonlySet<string>>;

/** Time until a node considers a change again that it did not write. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * Nodes that start at the same time know no peers yet, so each of them would
 * create the history of a new service. Most see it within this time.
 */
const CREATION_JITTER_MILLISECONDS = 200;
/**
 * The same after all attempts met a conflict: others are writing, or the object
 * cannot be decoded.
 */
const CONFLICT_INTERVAL_MILLISECONDS = 10_000;
/** Attempts to write when others write the same object. */
const MAXIMUM_ATTEMPTS = 4;
/** Time between two updates from which this process must have been frozen. */
const INTERRUPTION_MILLISECONDS = 5_000;

interface WriterChoice {
  /** URLs of the nodes that it was made from. */
  readonly candidates: string;
  /** Whether this node writes. */
  readonly isOwn: boolean;
}

/** Dependencies of the writer of the histories. */
export interface VersionHistoryWriterOptions {
  readonly ownUrl: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly history: VersionHistory;
  readonly store: ObjectStore;
  readonly storage: StreamOriginStorage;
  /** Longest time that a stream may last, in milliseconds. */
  readonly streamLifetimeMilliseconds: () => number;
  /** Whether the list of upstreams was confirmed a short time ago. */
  readonly isListCurrent: () => boolean;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/**
 * Keeps the histories of versions in step with the list of upstreams. One node
 * writes for each service. A version is removed when a node has seen none of its
 * upstreams for as long as a stream may last, by its monotonic clock.
 */
export class VersionHistoryWriter {
  private listed: VersionsByService = new Map();
  private isWriting = false;
  private updatedAtMilliseconds = -Infinity;
  private readonly nextCheckAtByService = new Map<string, number>();
  private readonly writerByService = new Map<string, WriterChoice>();
  /**
   * Since when each version of a history is not listed, by service. Counted
   * from when this node read it there, at the earliest.
   */
  private absentSinceByService = new Map<string, Map<string, number>>();

  constructor(private readonly options: VersionHistoryWriterOptions) {}

  /** Compares the histories with the list; called several times a second. */
  update(listed: VersionsByService): void {
    this.listed = listed;
    this.trackAbsence();
    if (this.isWriting) return;
    const now = performance.now();
    const services = this.listChanged().filter(service => {
      if (now < (this.nextCheckAtByService.get(service) ?? 0)) return false;
      this.nextCheckAtByService.set(service, now + CHECK_INTERVAL_MILLISECONDS);
      return this.isWriter(service);
    });
    if (services.length === 0) return;
    this.isWriting = true;
    void this.write(services).finally(() => {
      this.isWriting = false;
    });
  }

  private trackAbsence(): void {
    const now = performance.now();
    const isInterrupted =
      now - this.updatedAtMilliseconds > INTERRUPTION_MILLISECONDS ||
      !this.options.isListCurrent();
    this.updatedAtMilliseconds = now;
    const absentSinceByService = new Map<string, Map<string, number>>();
    for (const [service, entry] of this.options.history.entries) {
      const known = this.absentSinceByService.get(service);
      const absentSince = new Map<string, number>();
      for (const version of entry.softwareVersions) {
        const isListed = this.listed.get(service)?.has(version) ?? false;
        const since =
          isListed || isInterrupted ? undefined : known?.get(version);
        absentSince.set(version, since ?? now);
      }
      absentSinceByService.set(service, absentSince);
    }
    this.absentSinceByService = absentSinceByService;
  }

  /** Services whose stored history differs from what it should be. */
  private listChanged(): string[] {
    const {history, store} = this.options;
    const services = new Set([
      ...this.listed.keys(),
      ...history.entries.keys(),
    ]);
    return [...services].filter(service => {
      const entry = history.entries.get(service);
      if (!entry || entry.objectVersion < store.eraStartVersion) return true;
      return !isSame(entry.softwareVersions, this.nextVersions(service));
    });
  }

  /** The stored and the listed versions without those that have expired. */
  private nextVersions(service: string): ReadonlySet<string> {
    const stored = this.options.history.entries.get(service)?.softwareVersions;
    const oldest =
      performance.now() - this.options.streamLifetimeMilliseconds();
    const absentSince = this.absentSinceByService.get(service);
    const kept = [...(stored ?? [])].filter(
      version => (absentSince?.get(version) ?? Infinity) > oldest,
    );
    return new Set([...kept, ...(this.listed.get(service) ?? [])]);
  }

  private isWriter(service: string): boolean {
    const ready = this.options
      .listNodes()
      .filter(({state}) => state === NodeState.READY);
    // Most nodes never write, and need not hash all nodes each time.
    const candidates = joinUrls(ready);
    const known = this.writerByService.get(service);
    if (known?.candidates === candidates) return known.isOwn;
    const [writer] = selectByRendezvousHash(
      service,
      ready,
      ({peerUrl}) => peerUrl,
      1,
    );
    const isOwn = writer?.peerUrl === this.options.ownUrl;
    this.writerByService.set(service, {candidates, isOwn});
    return isOwn;
  }

  private async write(services: readonly string[]): Promise<void> {
    const {history, random} = this.options;
    const isNew = services.some(service => !history.entries.has(service));
    if (isNew) await delay(random() * CREATION_JITTER_MILLISECONDS);
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const read = await history.read();
      if (!read.ok) return;
      this.trackAbsence();
      let hasConflict = false;
      for (const service of services)
        hasConflict = (await this.writeOne(service)) || hasConflict;
      if (!hasConflict) return;
    }
    const nextCheckAt = performance.now() + CONFLICT_INTERVAL_MILLISECONDS;
    for (const service of services)
      this.nextCheckAtByService.set(service, nextCheckAt);
  }

  /** @return whether another node has written it at the same time. */
  private async writeOne(service: string): Promise<boolean> {
    const {history, store, storage, logger} = this.options;
    const entry = history.entries.get(service);
    const versions = this.nextVersions(service);
    if (isSame(entry?.softwareVersions, versions)) return false;
    const softwareVersions = [...versions].sort();
    const value = storage.encodeHistory({service, softwareVersions});
    const written = entry
      ? await store.update(entry.key, value, entry.objectVersion)
      : await store.create(`${storage.historyPrefix}${service}`, value);
    if (written.ok) {
      history.apply(written.val);
      logger.info({service, softwareVersions}, 'history of versions written');
      return false;
    }
    if (written.val.kind === StoreErrorKind.CONFLICT) return true;
    logger.warn(
      {service, softwareVersions, reason: written.val.message},
      'failed to write the history of versions; trying again',
    );
    return false;
  }
}

function isSame(
  left: ReadonlySet<string> | undefined,
  right: ReadonlySet<string>,
): boolean {
  return (
    left?.size === right.size && [...left].every(version => right.has(version))
  );
}
