import type {PlatformHost} from '@arbutustide/upstream';

import type {LaggedHostList} from './lagged_host_list.js';

import {readJsonBody, sendJson, StandInServer} from './stand_in_server.js';

/** Serves the platform's host list over HTTP; tests edit it. */
export function createHostListServer(hostList: LaggedHostList): StandInServer {
  const server = new StandInServer(() => ({
    hosts: hostList.listVisibleHosts(),
  }));
  const {app} = server;
  app.get('/hosts', (_request, response) =>
    sendJson(response, 200, {hosts: hostList.listVisibleHosts()}),
  );
  app.put('/stand-in/hosts', async (request, response) => {
    hostList.upsert((await readJsonBody(request)) as PlatformHost);
    sendJson(response, 200, {});
  });
  app.delete('/stand-in/hosts/:id', (request, response) => {
    hostList.remove(decodeURIComponent(request.params['id']));
    sendJson(response, 200, {});
  });
  return server;
}
