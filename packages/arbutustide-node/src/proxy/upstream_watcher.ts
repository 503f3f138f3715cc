import type {
  ObjectStore,
  StoredObject,
  StoreError,
} from '@arbutustide/object-store';
import type {
  ProxyUpstreamDirectory,
  UpstreamDescription,
} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import type {ProxyDependencies} from './proxy_dependencies.js';

import {delay} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';
import {Ok} from 'ts-results';

/** Makes a watch call answer at once, with the changes that there are. */
const SHORTEST_WATCH_MILLISECONDS = 1;
/** Delay before a failed call to the object store is retried. */
const STORE_RETRY_DELAY_MILLISECONDS = 250;

/**
 * Pause between watch calls, as a share of the bound on changes. Limits the
 * number of calls when many upstreams change, at the price of learning of a
 * change this much later, once at a relay and once behind it.
 */
const WATCH_PAUSE_SHARE = 0.125;

/**
 * Intervals of an upstream's renewals for which the store must have been away at
 * least for entries to lapse: they lapse three intervals after the last renewal,
 * which can have been one interval before.
 */
const LAPSE_BEATS = 2;

/**
 * How long removals are deferred after a store outage. Entries expire during an
 * outage because they cannot be renewed; live upstreams have written theirs
 * again within this time.
 */
const REMOVAL_GRACE_MILLISECONDS = 2_000;

/** Keeps the directory in step with the platform's list of upstreams. */
export class UpstreamWatcher {
  private readonly watcher: PrefixWatcher;
  private removalGraceEndMilliseconds = -Infinity;
  private hasReceivedList = false;
  private confirmedAt = -Infinity;
  private missedChangesAt = -Infinity;
  private isNextListRestored = false;
  /** Entries that could be decoded, by upstream, in their stored form. */
  private readonly storedObjectsById = new Map<string, StoredObject>();
  /** Timers of deferred removals, by upstream. */
  private readonly pendingRemovals = new Map<string, NodeJS.Timeout>();

  constructor(
    private readonly dependencies: ProxyDependencies,
    private readonly directory: ProxyUpstreamDirectory,
  ) {
    const {settings, store, upstreams, logger} = dependencies;
    this.watcher = new PrefixWatcher(
      store,
      {
        prefix: upstreams.prefix,
        pauseMilliseconds: settings.changeBoundMilliseconds * WATCH_PAUSE_SHARE,
        retryDelayMilliseconds: STORE_RETRY_DELAY_MILLISECONDS,
        pause: delay,
      },
      {
        onList: objects => this.applyList(objects),
        onChange: object => this.applyObject(object),
        onDelete: key => this.removeByKey(key, 'deleted'),
        onRestored: () => this.prepareForRestoredList(),
        onConfirmed: ({monotonicMilliseconds}) => {
          this.confirmedAt = monotonicMilliseconds;
        },
        onUnavailable: error =>
          logger.warn(
            {reason: error.message},
            'failed to read upstreams; keeping the known ones and retrying',
          ),
        onRecovered: silentMilliseconds => {
          logger.info({silentMilliseconds}, 'upstreams are readable again');
          const {upstreamBeatMilliseconds} = settings;
          if (silentMilliseconds >= upstreamBeatMilliseconds * LAPSE_BEATS)
            this.beginRemovalGrace();
        },
      },
    );
  }

  /** Whether a list of upstreams was received, from the store or a peer. */
  get isInitialized(): boolean {
    return this.hasReceivedList;
  }

  /** Entries that could be decoded, in their stored form. */
  get storedObjects(): StoredObject[] {
    return [...this.storedObjectsById.values()];
  }

  /** Time since the store last answered, in milliseconds. */
  get silentMilliseconds(): number {
    return this.watcher.sinceResponseMilliseconds;
  }

  /** Latest time (monotonic) at which the store held exactly what is listed. */
  get confirmedAtMilliseconds(): number {
    return this.confirmedAt;
  }

  /**
   * Latest time (monotonic) at which it turned out that upstreams may have come
   * and gone unseen: the store's history was lost, and this node had not read
   * from it for as long as an upstream takes to leave.
   */
  get missedChangesAtMilliseconds(): number {
    return this.missedChangesAt;
  }

  /**
   * Reads from the store which entries were written that the watch has not
   * delivered yet. They are not applied: the watch delivers them in their order.
   *
   * @param store the store itself; a relay may lag behind it.
   */
  async readPendingEntries(
    store: ObjectStore,
  ): Promise<Result<UpstreamDescription[], StoreError>> {
    const pending = await this.readPendingObjects(store);
    if (!pending.ok) return pending;
    const {decode} = this.dependencies.upstreams;
    const decoded = pending.val.map(object => decode(object));
    return Ok(decoded.flatMap(entry => (entry.ok ? [entry.val] : [])));
  }

  /**
   * Applies the entries of a peer, unless a list was received before. Entries
   * from before the store was last restored are refused.
   */
  initializeFromPeer(objects: readonly StoredObject[]): void {
    if (this.hasReceivedList) return;
    const {eraStartVersion} = this.dependencies.store;
    const isOutdated = objects.some(({version}) => version < eraStartVersion);
    if (isOutdated) {
      this.dependencies.logger.warn(
        {upstreams: objects.length},
        'the upstreams of a peer are from before the store was restored; ignoring them',
      );
      return;
    }
    this.applyList(objects);
  }

  /**
   * Applies the entries of a peer that are newer than this node's, except those
   * of processes that have left. Entries that the peer lacks are kept: it may
   * have read its list before they were made.
   *
   * @return number of entries applied.
   */
  mergeFromPeer(objects: readonly StoredObject[]): number {
    const {store, upstreams} = this.dependencies;
    const newer = objects.filter(object => {
      const known = this.storedObjectsById.get(upstreams.parseId(object.key));
      if (object.version <= (known?.version ?? store.eraStartVersion - 1))
        return false;
      const decoded = upstreams.decode(object);
      return !decoded.ok || !this.directory.hasDeparted(decoded.val);
    });
    for (const object of newer) this.applyObject(object);
    return newer.length;
  }

  /** Watches the store until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  /**
   * The list that follows is out of date: live upstreams that are missing write
   * their entries again, and those that had left may be listed.
   */
  private prepareForRestoredList(): void {
    this.isNextListRestored = true;
    this.beginRemovalGrace();
    this.dependencies.logger.warn(
      'the store was restored from a copy; listing upstreams again',
    );
  }

  /**
   * Reads the objects that have changed since the watch last delivered any; all
   * objects if it has not delivered a list yet.
   */
  private async readPendingObjects(
    store: ObjectStore,
  ): Promise<Result<readonly StoredObject[], StoreError>> {
    const {prefix} = this.dependencies.upstreams;
    const afterVersion = this.watcher.reportedVersion;
    if (afterVersion === undefined)
      return (await store.list(prefix)).map(({objects}) => objects);
    const batch = await store.watch(
      prefix,
      afterVersion,
      new AbortController().signal,
      SHORTEST_WATCH_MILLISECONDS,
    );
    return batch.map(({changes}) => changes);
  }

  private beginRemovalGrace(): void {
    this.removalGraceEndMilliseconds =
      performance.now() + REMOVAL_GRACE_MILLISECONDS;
  }

  private applyList(objects: readonly StoredObject[]): void {
    const now = performance.now();
    const {changeBoundMilliseconds} = this.dependencies.settings;
    const hasGap = now - this.confirmedAt >= changeBoundMilliseconds;
    if (this.hasReceivedList && hasGap) this.missedChangesAt = now;
    this.hasReceivedList = true;
    const isRestored = this.isNextListRestored;
    this.isNextListRestored = false;
    const descriptions: UpstreamDescription[] = [];
    for (const object of objects) {
      const description = this.decode(object);
      if (!description) continue;
      if (isRestored && this.directory.hasDeparted(description)) {
        this.storedObjectsById.delete(description.id);
        continue;
      }
      descriptions.push(description);
    }
    const listedIds = new Set(descriptions.map(({id}) => id));
    for (const {id} of [...this.directory.all()]) {
      if (!listedIds.has(id)) this.scheduleRemoval(id, 'not listed');
    }
    for (const description of descriptions) this.applyDescription(description);
  }

  private applyObject(object: StoredObject): void {
    const description = this.decode(object);
    if (description) this.applyDescription(description);
    else this.removeByKey(object.key, 'unusable entry');
  }

  private decode(object: StoredObject): UpstreamDescription | undefined {
    const {upstreams, logger} = this.dependencies;
    const decoded = upstreams.decode(object);
    if (decoded.ok) {
      this.storedObjectsById.set(decoded.val.id, object);
      return decoded.val;
    }
    logger.warn(
      {key: object.key, reason: decoded.val.message},
      'failed to decode the entry of an upstream; treating it as removed',
    );
    return undefined;
  }

  /** Adds or updates an upstream; logs a new state and a restart. */
  private applyDescription(description: UpstreamDescription): void {
    this.cancelRemoval(description.id);
    const previous = this.directory.get(description.id)?.description;
    this.directory.upsert(description);
    const hasChanged =
      previous?.state !== description.state ||
      previous.startedAt !== description.startedAt;
    if (!hasChanged) return;
    const {id, state, service, address, startedAt, softwareVersion} =
      description;
    this.dependencies.logger.info(
      {
        upstream: id,
        state,
        previous: previous?.state,
        service,
        address,
        startedAt,
        softwareVersion,
      },
      'upstream',
    );
  }

  private removeByKey(key: string, reason: string): void {
    this.scheduleRemoval(this.dependencies.upstreams.parseId(key), reason);
  }

  /**
   * Removes an upstream. Shortly after a store outage in which entries may have
   * lapsed, the removal is deferred to the end of the grace period, and cancelled
   * if the entry is rewritten. Until then the upstream is used only where no other
   * can serve: it may also be leaving.
   */
  private scheduleRemoval(id: string, reason: string): void {
    const upstream = this.directory.get(id);
    if (!upstream) return;
    const remainingGraceMilliseconds =
      this.removalGraceEndMilliseconds - performance.now();
    if (remainingGraceMilliseconds <= 0) {
      this.removeNow(id, reason);
    } else if (!this.pendingRemovals.has(id)) {
      upstream.isUnlisted = true;
      const timer = setTimeout(
        () => this.removeNow(id, `${reason}, lapsed`),
        remainingGraceMilliseconds,
      );
      this.pendingRemovals.set(id, timer);
    }
  }

  private removeNow(id: string, reason: string): void {
    this.cancelRemoval(id);
    this.storedObjectsById.delete(id);
    this.directory.remove(id);
    this.dependencies.connector.drainConnections(id);
    this.dependencies.logger.info({upstream: id, reason}, 'upstream removed');
  }

  private cancelRemoval(id: string): void {
    clearTimeout(this.pendingRemovals.get(id));
    this.pendingRemovals.delete(id);
  }
}
