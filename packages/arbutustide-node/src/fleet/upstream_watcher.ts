import type {StoredObject} from '@arbutustide/object-store';
import type {FleetDirectory, UpstreamDescription} from '@arbutustide/routing';

import type {FleetDependencies} from './fleet_dependencies.js';

import {delay} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';

/** Pause after a failed call to the store, in milliseconds. */
const RETRY_MILLISECONDS = 250;

/** Bounds the calls that upstreams' changes cost; they may wait this long. */
const REST_MILLISECONDS = 250;

/** Keeps the directory equal to the platform's list of upstreams. */
export class UpstreamWatcher {
  private readonly watcher: PrefixWatcher;

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
        onRegained: silentMilliseconds =>
          logger.info({silentMilliseconds}, 'upstreams are read again'),
      },
    );
  }

  /** Watches until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  private takeList(objects: readonly StoredObject[]): void {
    const descriptions: UpstreamDescription[] = [];
    for (const object of objects) {
      const description = this.decode(object);
      if (description) descriptions.push(description);
    }
    const listed = new Set(descriptions.map(({id}) => id));
    for (const {id} of [...this.directory.all()]) {
      if (!listed.has(id)) this.forget(id, 'not listed');
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
    if (decoded.ok) return decoded.val;
    logger.warn(
      {key: object.key, reason: decoded.val.message},
      'entry of an upstream is not usable',
    );
    return undefined;
  }

  private put(description: UpstreamDescription): void {
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
    this.forget(this.dependencies.upstreams.idOf(key), reason);
  }

  private forget(id: string, reason: string): void {
    if (!this.directory.get(id)) return;
    this.directory.remove(id);
    this.dependencies.logger.info({upstream: id, reason}, 'upstream removed');
  }
}
