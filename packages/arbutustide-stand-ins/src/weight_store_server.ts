import type {WeightFetcher} from './engine_model.js';
import type {WeightLimiter} from './weight_limiter.js';

import {fetch} from 'undici';

import {sendJson, StandInServer} from './stand_in_server.js';

/** The weight store as a program. */
export function createWeightStoreServer(limiter: WeightLimiter): StandInServer {
  const fetched: string[] = [];
  const server = new StandInServer(() => ({fetched}));
  server.app.get('/weights/:item', async (request, response) => {
    await limiter.fetch();
    fetched.push(request.params['item']);
    sendJson(response, 200, {});
  });
  return server;
}

/** Fetches weights from a weight store at an address. */
export function httpWeightFetcher(url: string): WeightFetcher {
  return async item => {
    const response = await fetch(`${url}/weights/${encodeURIComponent(item)}`);
    await response.arrayBuffer();
  };
}
