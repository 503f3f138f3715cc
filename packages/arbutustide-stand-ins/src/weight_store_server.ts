import type {WeightFetcher} from './stand_in_engine.js';
import type {StandInWeightStore} from './stand_in_weight_store.js';

import {fetch} from 'undici';

import {sendJson, StandInServer} from './stand_in_server.js';

/** Serves a weight store over HTTP; records the items fetched. */
export function createWeightStoreServer(
  weightStore: StandInWeightStore,
): StandInServer {
  const fetchedItems: string[] = [];
  const server = new StandInServer(() => ({fetched: fetchedItems}));
  server.app.get('/weights/:item', async (request, response) => {
    await weightStore.fetchWeights();
    fetchedItems.push(request.params['item']);
    sendJson(response, 200, {});
  });
  return server;
}

/** Creates a fetcher that loads weights from the store at a base URL. */
export function createHttpWeightFetcher(url: string): WeightFetcher {
  return async item => {
    const response = await fetch(`${url}/weights/${encodeURIComponent(item)}`);
    await response.arrayBuffer();
  };
}
