import type {StoredObject} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';

import type {ProxyDependencies} from './proxy_dependencies.js';

import {delay} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';
import {RouteTable} from '@arbutustide/routing';

/** Delay before a failed call to the object store is retried. */
const STORE_RETRY_DELAY_MILLISECONDS = 250;

type ConfigurationListener = (configuration: ServingConfiguration) => void;

/**
 * Watches the configuration in the object store and applies each newer version.
 * An older version never replaces a newer one during the life of the process.
 */
export class ConfigurationWatcher {
  private currentRoutes: RouteTable | undefined;
  private currentObject: StoredObject | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly watcher: PrefixWatcher;

  constructor(private readonly dependencies: ProxyDependencies) {
    const {store, configuration, logger} = dependencies;
    this.watcher = new PrefixWatcher(
      store,
      {
        prefix: configuration.prefix,
        pauseMilliseconds: 0,
        retryDelayMilliseconds: STORE_RETRY_DELAY_MILLISECONDS,
        pause: delay,
      },
      {
        onList: objects => objects.forEach(object => this.applyObject(object)),
        onChange: object => this.applyObject(object),
        onDelete: key =>
          logger.warn({key}, 'configuration deleted; keeping the current one'),
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

  /**
   * Registers a listener for configurations. It is called at once if there is
   * one already, and whenever a newer one is applied.
   */
  onConfiguration(listener: ConfigurationListener): void {
    this.listeners.add(listener);
    if (this.currentRoutes) listener(this.currentRoutes.configuration);
  }

  /** Watches the store until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  /**
   * Decodes and applies a configuration. Logs one that cannot be decoded, and
   * ignores one that is not newer than the current.
   *
   * @param peerUrl the peer that it was read from; undefined for the store.
   */
  applyObject(object: StoredObject, peerUrl?: string): void {
    const {key, version: revision, value} = object;
    const {logger, configuration} = this.dependencies;
    const decoded = configuration.decode(value);
    if (!decoded.ok) {
      logger.error(
        {key, revision, reason: decoded.val.message},
        'failed to decode configuration; ignoring this revision',
      );
      return;
    }
    const {version, routes} = decoded.val;
    const currentVersion =
      this.currentRoutes?.configuration.version ?? -Infinity;
    if (version <= currentVersion) return;
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
  }
}
