import type {Request, Response} from '@tinyhttp/app';

import type {StandInService} from './stand_in_service.js';

import {
  ATTEMPT_ID_HEADER,
  UPSTREAM_LEAVING_HEADER,
} from '@arbutustide/upstream';

import {readBody, sendJson, StandInServer} from './stand_in_server.js';

/** Serves a plain service over HTTP: its report, and any other path. */
export function createServiceServer(service: StandInService): StandInServer {
  const server = new StandInServer(() => ({calls: service.calls}));
  const {app} = server;
  app.get('/report', (_request, response) =>
    sendJson(response, 200, service.createReport()),
  );
  app.post('/stand-in/leave', (_request, response) => {
    service.isLeaving = true;
    sendJson(response, 200, {});
  });
  app.all('/*', (request, response) =>
    handleServiceCall(service, request, response),
  );
  return server;
}

async function handleServiceCall(
  service: StandInService,
  request: Request,
  response: Response,
): Promise<void> {
  const body = await readBody(request);
  const attemptId = String(request.headers[ATTEMPT_ID_HEADER] ?? '');
  const answer = await service.handleCall({
    requestId: String(request.headers['x-request-id'] ?? ''),
    attemptId,
    method: request.method ?? '',
    path: request.originalUrl ?? '/',
    body,
  });
  response.setHeader(ATTEMPT_ID_HEADER, attemptId);
  if (service.isLeaving) response.setHeader(UPSTREAM_LEAVING_HEADER, '1');
  if (answer) sendJson(response, 200, answer);
  else response.destroy();
}
