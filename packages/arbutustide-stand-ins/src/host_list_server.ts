import type {PlatformHost} from '@arbutustide/upstream';

import type {HostTable} from './lagged_host_list.js';

import {readJsonBody, sendJson, StandInServer} from './stand_in_server.js';

/** Serves the platform's host list over HTTP; tests edit it. */
export function createHostListServer(hostList: HostTable): StandInServer {
  const server = new StandInServer(() => ({hosts: hostList.hosts()}));
  const {app} = server;
  app.get('/hosts', (_request, response) =>
    sendJson(response, 200, {hosts: hostList.hosts()}),
  );
  app.put('/stand-in/hosts', async (request, response) => {
    hostList.put((await readJsonBody(request)) as PlatformHost);
    sendJson(response, 200, {});
  });
  app.delete('/stand-in/hosts/:id', (request, response) => {
    hostList.remove(decodeURIComponent(request.params['id']));
    sendJson(response, 200, {});
  });
  return server;
}
