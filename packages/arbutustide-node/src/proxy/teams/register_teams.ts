import type {RegisterSingleton} from '../register_singleton.js';

import {
  Authenticator,
  KeyTableCache,
  TeamGate,
  UNLIMITED_QUOTAS,
} from '@arbutustide/teams';

import {ProxyToken} from '../proxy_tokens.js';

/** Registers what authenticates callers and admits requests of teams. */
export function registerTeams(register: RegisterSingleton): void {
  const freshness = {refuseIfUnconfirmed: () => undefined};
  register(ProxyToken.KEY_TABLES, () => new KeyTableCache());
  register(
    ProxyToken.AUTHENTICATOR,
    container =>
      new Authenticator(container.resolve(ProxyToken.KEY_TABLES), freshness),
  );
  register(ProxyToken.TEAM_QUOTAS, () => UNLIMITED_QUOTAS);
  register(ProxyToken.REQUEST_GATE, container => {
    const watcher = container.resolve(ProxyToken.CONFIGURATION_WATCHER);
    return new TeamGate({
      currentConfiguration: () => watcher.routes?.configuration,
      keyTables: container.resolve(ProxyToken.KEY_TABLES),
      freshness,
      quotas: container.resolve(ProxyToken.TEAM_QUOTAS),
    });
  });
}
