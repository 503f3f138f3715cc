import type {ServingConfiguration} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import {ServiceOrder} from '@arbutustide/routing';

import {ProxyToken} from '../proxy_tokens.js';

/**
 * Creates the order in which queued requests are served. Deployments with one
 * priority and no teams are served by deadline alone.
 */
export function createServiceOrder(
  container: DependencyContainer,
): ServiceOrder {
  const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
  let decidedFor: ServingConfiguration | undefined;
  let isDivided = false;
  return new ServiceOrder({
    hasSeveralClasses: () => {
      const configuration = watcher.routes?.configuration;
      if (configuration !== decidedFor) {
        decidedFor = configuration;
        isDivided = hasSeveralClasses(configuration);
      }
      return isDivided;
    },
  });
}

/** Whether callers differ in team or priority. */
function hasSeveralClasses(
  configuration: ServingConfiguration | undefined,
): boolean {
  if (!configuration) return false;
  const priorities = new Set(
    configuration.routes.map(({priority}) => priority),
  );
  return configuration.teams !== undefined || priorities.size > 1;
}
