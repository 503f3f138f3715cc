import type {ClockReading} from '@arbutustide/errors';
import type {
  ObjectStore,
  StoredObject,
  StoreError,
} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';

import type {ProxyDependencies} from './proxy_dependencies.js';

import {delay, readClocks} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';
import {RouteTable} from '@arbutustide/routing';

/** Delay before a failed call to the object store is retried. */
const STORE_RETRY_DELAY_MILLISECONDS = 250;

/** Settings of a configuration watcher. */
export interface ConfigurationWatcherOptions {
  /**
   * Time to hold a watch open, in milliseconds; undefined for the store's usual
   * time. A watch without changes confirms the configuration when it ends.
   */
  readonly watchMilliseconds: () => number | undefined;
}

type ConfigurationListener = (configuration: ServingConfiguration) => void;
type ConfirmationListener = (version: number, sentAt: ClockReading) => void;

/**
 * Watches the configuration in the object store and applies each newer version.
 * An older version never replaces a newer one during the life of the process.
 */
export class ConfigurationWatcher {
  private currentRoutes: RouteTable | undefined;
  private currentObject: StoredObject | undefined;
  /** Versions of the store's objects, by key, as it last reported them. */
  private readonly storedVersions = new Map<string, number>();
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly confirmationListeners = new Set<ConfirmationListener>();
  private readonly watcher: PrefixWatcher;

  constructor(
    private readonly dependencies: ProxyDependencies,
    options: Partial<ConfigurationWatcherOptions> = {},
  ) {
    const {store, configuration, logger} = dependencies;
    this.watcher = new PrefixWatcher(
      store,
      {
        prefix: configuration.prefix,
        pauseMilliseconds: 0,
        retryDelayMilliseconds: STORE_RETRY_DELAY_MILLISECONDS,
        pause: delay,
        ...options,
      },
      {
        onList: objects => {
          this.storedVersions.clear();
          for (const object of objects) this.applyStored(object);
        },
        onChange: object => this.applyStored(object),
        onDelete: key => {
          this.storedVersions.delete(key);
          logger.warn({key}, 'configuration deleted; keeping the current one');
        },
        onConfirmed: sentAt =>
          this.notifyConfirmed([...this.storedVersions.values()], sentAt),
        onUnavailable: error =>
          logger.warn(
            {
              reason: error.message,
              version: this.currentRoutes?.configuration.version,
            },
            'failed to read configuration; keeping the current one and retrying',
          ),
        onRecovered: silentMilliseconds =>
          logger.info({silentMilliseconds}, 'configuration is readable again'),
      },
    );
  }

  /** Routes of the current configuration; undefined until there is one. */
  get routes(): RouteTable | undefined {
    return this.currentRoutes;
  }

  /**
   * Stored object that the current configuration was decoded from, as it may be
   * passed to peers.
   */
  get storedObject(): StoredObject | undefined {
    return this.currentObject;
  }

  /** Time since the store, or a peer that watches it, last answered. */
  get ageMilliseconds(): number {
    return this.watcher.sinceResponseMilliseconds;
  }

  /**
   * Registers a listener for configurations. It is called at once if there is
   * one already, and whenever a newer one is applied.
   */
  onConfiguration(listener: ConfigurationListener): void {
    this.listeners.add(listener);
    if (this.currentRoutes) listener(this.currentRoutes.configuration);
  }

  /**
   * Registers a listener for what the store itself tells: the highest version
   * that it holds, with the time at which the call was sent.
   */
  onConfirmation(listener: ConfirmationListener): void {
    this.confirmationListeners.add(listener);
  }

  /**
   * Reads the configuration from the store at once, beside the watch.
   *
   * @param store is called directly, not through a peer.
   */
  async confirmNow(
    store: Pick<ObjectStore, 'list'>,
  ): Promise<StoreError | undefined> {
    const sentAt = readClocks();
    const listed = await store.list(this.dependencies.configuration.prefix);
    if (!listed.ok) return listed.val;
    const versions = listed.val.objects.map(object => this.readStored(object));
    this.notifyConfirmed(versions, sentAt);
    return undefined;
  }

  /** Watches the store until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  private applyStored(object: StoredObject): void {
    this.storedVersions.set(object.key, this.readStored(object));
  }

  /**
   * Applies an object that the store reports; returns the version that this
   * shows the store to hold. One that cannot be decoded, and was written after
   * the current one, leaves that in force.
   */
  private readStored(object: StoredObject): number {
    const version = this.applyObject(object);
    if (version !== undefined) return version;
    const {currentObject, currentRoutes} = this;
    const isNewer =
      currentObject !== undefined &&
      currentObject.version >= this.dependencies.store.eraStartVersion &&
      object.version > currentObject.version;
    return isNewer && currentRoutes
      ? currentRoutes.configuration.version
      : -Infinity;
  }

  private notifyConfirmed(
    storedVersions: readonly number[],
    sentAt: ClockReading,
  ): void {
    const version = Math.max(...storedVersions);
    for (const listener of this.confirmationListeners)
      listener(version, sentAt);
  }

  /**
   * Decodes and applies a configuration. Logs one that cannot be decoded, and
   * ignores one that is not newer than the current.
   *
   * @param peerUrl the peer that it was read from; undefined for the store.
   * @return its version; undefined if it cannot be decoded.
   */
  applyObject(object: StoredObject, peerUrl?: string): number | undefined {
    const {key, version: revision, value} = object;
    const {logger, configuration} = this.dependencies;
    const decoded = configuration.decode(value);
    if (!decoded.ok) {
      logger.error(
        {key, revision, reason: decoded.val.message},
        'failed to decode configuration; ignoring this revision',
      );
      return undefined;
    }
    const {version, routes} = decoded.val;
    const currentVersion =
      this.currentRoutes?.configuration.version ?? -Infinity;
    if (version <= currentVersion) return version;
    this.currentRoutes = new RouteTable(decoded.val);
    this.currentObject = {...object, value: configuration.redact(value)};
    logger.info(
      {
        version,
        revision,
        previous: currentVersion,
        routes: routes.length,
        ...(peerUrl && {peer: peerUrl}),
      },
      'applied a newer configuration',
    );
    for (const listener of this.listeners) listener(decoded.val);
    return version;
  }
}
