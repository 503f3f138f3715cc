import type {Request, Response} from '@tinyhttp/app';
import type {StoreError} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import {StoreErrorKind} from '@arbutustide/object-store';

import {ObjectTable} from './object_table.js';
import {readJsonBody, sendJson, StandInServer} from './stand_in_server.js';

const STATUS_BY_ERROR_KIND: Readonly<Record<StoreErrorKind, number>> = {
  [StoreErrorKind.NOT_FOUND]: 404,
  [StoreErrorKind.CONFLICT]: 409,
  [StoreErrorKind.HISTORY_GONE]: 410,
  [StoreErrorKind.ERA_CHANGED]: 409,
  [StoreErrorKind.UNAVAILABLE]: 503,
  [StoreErrorKind.OUTCOME_UNKNOWN]: 500,
};

/** Serves the platform's object API over HTTP. */
export function createObjectApiServer(
  objectTable = new ObjectTable(),
): StandInServer {
  const server = new StandInServer(() => ({writes: objectTable.writes}));
  const {app} = server;
  app.get('/objects', (request, response) => {
    const prefix = parseQuery(request).get('prefix') ?? '';
    sendResult(response, objectTable.list(prefix));
  });
  app.get('/objects/:key', (request, response) =>
    sendResult(response, objectTable.get(parseKey(request))),
  );
  app.put('/objects/:key', async (request, response) => {
    const value = await readJsonBody(request);
    const key = parseKey(request);
    const version = request.headers['if-match'];
    const written =
      version === undefined
        ? objectTable.create(key, value)
        : objectTable.update(key, value, Number(version));
    sendResult(response, written);
  });
  app.delete('/objects/:key', (request, response) => {
    const version = Number(request.headers['if-match']);
    const deleted = objectTable.delete(parseKey(request), version);
    sendResult(
      response,
      deleted.map(() => ({})),
    );
  });
  app.get('/watch', async (request, response) => {
    const query = parseQuery(request);
    const disconnection = new AbortController();
    response.once('close', () => disconnection.abort());
    const batch = await objectTable.watch(
      query.get('prefix') ?? '',
      Number(query.get('after')),
      Number(query.get('wait_milliseconds')),
      disconnection.signal,
    );
    sendResult(response, batch);
  });
  return server;
}

function sendResult<T>(
  response: Response,
  result: Result<T, StoreError>,
): void {
  if (result.ok) sendJson(response, 200, result.val);
  else {
    const {kind, message} = result.val;
    sendJson(response, STATUS_BY_ERROR_KIND[kind], {kind, message});
  }
}

function parseKey(request: Request): string {
  return decodeURIComponent(request.params['key']);
}

function parseQuery(request: Request): URLSearchParams {
  return new URL(request.originalUrl ?? '/', 'http://stand-in').searchParams;
}
