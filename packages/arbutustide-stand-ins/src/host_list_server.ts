import type {PlatformHost} from '@arbutustide/upstream';

import type {HostTable} from './host_table.js';

import {readJson, sendJson, StandInServer} from './stand_in_server.js';

/** The platform's host list as a program. */
export function createHostListServer(table: HostTable): StandInServer {
  const server = new StandInServer(() => ({hosts: table.hosts()}));
  const {app} = server;
  app.get('/hosts', (_request, response) =>
    sendJson(response, 200, {hosts: table.hosts()}),
  );
  app.put('/stand-in/hosts', async (request, response) => {
    table.put((await readJson(request)) as PlatformHost);
    sendJson(response, 200, {});
  });
  app.delete('/stand-in/hosts/:id', (request, response) => {
    table.remove(decodeURIComponent(request.params['id']));
    sendJson(response, 200, {});
  });
  return server;
}
