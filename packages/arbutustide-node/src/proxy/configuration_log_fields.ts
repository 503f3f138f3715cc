import type {DependencyContainer} from 'tsyringe';

import {ProxyToken} from './proxy_tokens.js';

/**
 * What tells from a log line whether an older configuration than the newest has
 * decided on a request.
 */
export interface ConfigurationLogFields {
  readonly configurationVersion: number | undefined;
  /** Time since it was last read; undefined if it never was. */
  readonly configurationAgeMilliseconds: number | undefined;
  /** Highest version that any node has published. */
  readonly newestConfigurationVersion: number;
}

/** Reads the fields for a request that is judged now. */
export function readConfigurationLogFields(
  container: DependencyContainer,
): ConfigurationLogFields {
  const {routes, ageMilliseconds} = container.resolve(
    ProxyToken.CONFIGURATION_WATCHER,
  );
  const nodes = container.resolve(ProxyToken.CLUSTER_VIEW).nodes();
  return {
    configurationVersion: routes?.configuration.version,
    // JSON has no infinity.
    configurationAgeMilliseconds: Number.isFinite(ageMilliseconds)
      ? Math.round(ageMilliseconds)
      : undefined,
    newestConfigurationVersion: Math.max(
      0,
      ...nodes.map(({catalogueRevision}) => catalogueRevision),
    ),
  };
}
