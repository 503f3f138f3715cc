import type {Request, Response} from '@tinyhttp/app';

import type {ServiceModel} from './service_model.js';

import {ATTEMPT_HEADER, LEAVING_HEADER} from '@arbutustide/upstream';

import {readText, sendJson, StandInServer} from './stand_in_server.js';

/** A plain service as a program. */
export function createServiceServer(service: ServiceModel): StandInServer {
  const server = new StandInServer(() => ({calls: service.calls}));
  const {app} = server;
  app.get('/report', (_request, response) =>
    sendJson(response, 200, service.report()),
  );
  app.post('/stand-in/leave', (_request, response) => {
    service.isLeaving = true;
    sendJson(response, 200, {});
  });
  app.all('/*', (request, response) => runCall(service, request, response));
  return server;
}

async function runCall(
  service: ServiceModel,
  request: Request,
  response: Response,
): Promise<void> {
  const body = await readText(request);
  const attemptId = String(request.headers[ATTEMPT_HEADER] ?? '');
  const answer = await service.run({
    requestId: String(request.headers['x-request-id'] ?? ''),
    attemptId,
    method: request.method ?? '',
    path: request.originalUrl ?? '/',
    body,
  });
  response.setHeader(ATTEMPT_HEADER, attemptId);
  if (service.isLeaving) response.setHeader(LEAVING_HEADER, '1');
  if (answer) sendJson(response, 200, answer);
  else response.destroy();
}
