import type {StoredObject} from '@arbutustide/object-store';
import type {FleetDirectory, UpstreamDescription} from '@arbutustide/routing';

import type {FleetDependencies} from './fleet_dependencies.js';

import {delay} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';

/** Pause after a failed call to the store, in milliseconds. */
const RETRY_MILLISECONDS = 250;

/** Bounds the calls that upstreams' changes cost; they may wait this long. */
const REST_MILLISECONDS = 250;

/** Entries that lapsed in an outage are back by then if they live. */
const LAPSE_MILLISECONDS = 2_000;

/** Keeps the directory equal to the platform's list of upstreams. */
export class UpstreamWatcher {
  private readonly watcher: PrefixWatcher;
  private lapsedUntilMilliseconds = -Infinity;
  private isListed = false;
  /** Usable entries as the store gave them, by upstream. */
  private readonly entries = new Map<string, StoredObject>();
  /** Removals that wait for entries that may only have lapsed. */
  private readonly removals = new Map<string, NodeJS.Timeout>();

  constructor(
    private readonly dependencies: FleetDependencies,
    private readonly directory: FleetDirectory,
  ) {
    const {store, upstreams, logger} = dependencies;
    this.watcher = new PrefixWatcher(
      store,
      {
        prefix: upstreams.prefix,
        restMilliseconds: REST_MILLISECONDS,
        retryMilliseconds: RETRY_MILLISECONDS,
        pause: delay,
      },
      {
        onList: objects => this.takeList(objects),
        onChange: object => this.take(object),
        onDelete: key => this.remove(key, 'deleted'),
        onLost: error =>
          logger.warn({reason: error.message}, 'upstreams cannot be read'),
        onRegained: silentMilliseconds => {
          logger.info({silentMilliseconds}, 'upstreams are read again');
          this.lapsedUntilMilliseconds = performance.now() + LAPSE_MILLISECONDS;
        },
      },
    );
  }

  /** Whether the upstreams were read, here or by a peer. */
  get hasList(): boolean {
    return this.isListed;
  }

  /** Entries as the store gave them. */
  get stored(): StoredObject[] {
    return [...this.entries.values()];
  }

  /** Time since the store last answered, in milliseconds. */
  get ageMilliseconds(): number {
    return this.watcher.silentMilliseconds;
  }

  /** Takes the entries a peer has, while the store gave none. */
  takeFromPeer(objects: readonly StoredObject[]): void {
    if (!this.isListed) this.takeList(objects);
  }

  /** Watches until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  private takeList(objects: readonly StoredObject[]): void {
    this.isListed = true;
    const descriptions: UpstreamDescription[] = [];
    for (const object of objects) {
      const description = this.decode(object);
      if (description) descriptions.push(description);
    }
    const listed = new Set(descriptions.map(({id}) => id));
    for (const {id} of [...this.directory.all()]) {
      if (!listed.has(id)) this.scheduleRemoval(id, 'not listed');
    }
    for (const description of descriptions) this.put(description);
  }

  private take(object: StoredObject): void {
    const description = this.decode(object);
    if (description) this.put(description);
    else this.remove(object.key, 'unusable entry');
  }

  private decode(object: StoredObject): UpstreamDescription | undefined {
    const {upstreams, logger} = this.dependencies;
    const decoded = upstreams.decode(object);
    if (decoded.ok) {
      this.entries.set(decoded.val.id, object);
      return decoded.val;
    }
    logger.warn(
      {key: object.key, reason: decoded.val.message},
      'entry of an upstream is not usable',
    );
    return undefined;
  }

  private put(description: UpstreamDescription): void {
    this.cancelRemoval(description.id);
    const known = this.directory.get(description.id)?.description;
    this.directory.put(description);
    const isNew =
      known?.state !== description.state ||
      known.startedAt !== description.startedAt;
    if (!isNew) return;
    const {id, state, service, address, startedAt} = description;
    this.dependencies.logger.info(
      {
        upstream: id,
        state,
        previous: known?.state,
        service,
        address,
        startedAt,
      },
      'upstream',
    );
  }

  private remove(key: string, reason: string): void {
    this.scheduleRemoval(this.dependencies.upstreams.idOf(key), reason);
  }

  /**
   * Removes an upstream; where the store was just away, only after the time in
   * which the entries of living upstreams come back.
   */
  private scheduleRemoval(id: string, reason: string): void {
    if (!this.directory.get(id)) return;
    const wait = this.lapsedUntilMilliseconds - performance.now();
    if (wait <= 0) {
      this.removeNow(id, reason);
    } else if (!this.removals.has(id)) {
      const timer = setTimeout(
        () => this.removeNow(id, `${reason}, lapsed`),
        wait,
      );
      this.removals.set(id, timer);
    }
  }

  private removeNow(id: string, reason: string): void {
    this.cancelRemoval(id);
    this.entries.delete(id);
    this.directory.remove(id);
    this.dependencies.connector.forget(id);
    this.dependencies.logger.info({upstream: id, reason}, 'upstream removed');
  }

  /** Takes back a removal that waits. */
  private cancelRemoval(id: string): void {
    clearTimeout(this.removals.get(id));
    this.removals.delete(id);
  }
}
