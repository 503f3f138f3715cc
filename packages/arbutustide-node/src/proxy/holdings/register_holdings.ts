import type {RegisterSingleton} from '../register_singleton.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';

import {HoldingRequester} from '../holding_requester.js';
import {PlannerClient} from '../planner_client.js';
import {ProxyToken} from '../proxy_tokens.js';
import {HoldingServer} from './holding_server.js';
import {ModelWaits} from './model_waits.js';
import {shortestLoadMilliseconds} from './shortest_load.js';
import {WantedModels} from './wanted_models.js';

/** Registers the requests of this node to the planner, and the answers to them. */
export function registerHoldings(
  register: RegisterSingleton,
  {transport}: ProxyDependencies,
): void {
  register(ProxyToken.WANTED_MODELS, () => new WantedModels());
  register(
    ProxyToken.HOLDING_SERVER,
    container =>
      new HoldingServer(
        container.resolve(ProxyToken.PLANNER),
        container.resolve(ProxyToken.WANTED_MODELS),
      ),
  );
  register(ProxyToken.HOLDING_REQUESTER, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    const directory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
    const plannerClient = new PlannerClient(clusterView, transport, () => ({
      planner: container.resolve(ProxyToken.PLANNER),
      server: container.resolve(ProxyToken.HOLDING_SERVER),
    }));
    const modelWaits = new ModelWaits({
      loadMilliseconds: (service, model) =>
        shortestLoadMilliseconds(
          container.resolve(ProxyToken.CONFIGURATION_WATCHER).routes
            ?.configuration,
          directory,
          service,
          model,
        ),
      expectedLoads: () => clusterView.expectedLoads(),
      isPlannerKnown: () => clusterView.findPlanner() !== undefined,
    });
    return new HoldingRequester(plannerClient, directory, modelWaits);
  });
}
