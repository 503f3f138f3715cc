import type {StoredObject} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';

import type {FleetDependencies} from './fleet_dependencies.js';

import {delay} from '@arbutustide/errors';
import {PrefixWatcher} from '@arbutustide/object-store';
import {RouteTable} from '@arbutustide/routing';

/** Pause after a failed call to the store, in milliseconds. */
const STORE_RETRY_DELAY_MILLISECONDS = 250;

type ConfigurationListener = (configuration: ServingConfiguration) => void;

/**
 * Keeps the newest configuration in force. A version is never replaced by an
 * older one while the process lives.
 */
export class ConfigurationWatcher {
  private currentRoutes: RouteTable | undefined;
  private currentObject: StoredObject | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly watcher: PrefixWatcher;

  constructor(private readonly dependencies: FleetDependencies) {
    const {store, configuration, logger} = dependencies;
    this.watcher = new PrefixWatcher(
      store,
      {
        prefix: configuration.prefix,
        restMilliseconds: 0,
        retryMilliseconds: STORE_RETRY_DELAY_MILLISECONDS,
        pause: delay,
      },
      {
        onList: objects => objects.forEach(object => this.applyObject(object)),
        onChange: object => this.applyObject(object),
        onDelete: key => logger.warn({key}, 'configuration deleted; kept'),
        onLost: error =>
          logger.warn(
            {
              reason: error.message,
              version: this.currentRoutes?.configuration.version,
            },
            'configuration cannot be read',
          ),
        onRegained: silentMilliseconds =>
          logger.info({silentMilliseconds}, 'configuration is read again'),
      },
    );
  }

  /** The routes in force; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.currentRoutes;
  }

  /** The object the configuration in force was read from. */
  get storedObject(): StoredObject | undefined {
    return this.currentObject;
  }

  /** Calls back with each configuration, at once if there is one. */
  onConfiguration(listener: ConfigurationListener): void {
    this.listeners.add(listener);
    if (this.currentRoutes) listener(this.currentRoutes.configuration);
  }

  /** Watches until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.watcher.run(signal);
  }

  /** Puts a configuration in force unless a newer one is. */
  applyObject(object: StoredObject): void {
    const {key, version: revision, value} = object;
    const {logger, configuration} = this.dependencies;
    const decoded = configuration.decode(value);
    if (!decoded.ok) {
      logger.error(
        {key, revision, reason: decoded.val.message},
        'configuration is not usable',
      );
      return;
    }
    const {version, routes} = decoded.val;
    const currentVersion =
      this.currentRoutes?.configuration.version ?? -Infinity;
    if (version <= currentVersion) return;
    this.currentRoutes = new RouteTable(decoded.val);
    this.currentObject = object;
    logger.info(
      {version, revision, previous: currentVersion, routes: routes.length},
      'configuration in force',
    );
    for (const listener of this.listeners) listener(decoded.val);
  }
}
