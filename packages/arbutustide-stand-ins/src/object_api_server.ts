import type {Request, Response} from '@tinyhttp/app';
import type {StoreError} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import {StoreErrorKind} from '@arbutustide/object-store';

import {ObjectTable} from './object_table.js';
import {readJson, sendJson, StandInServer} from './stand_in_server.js';

const STATUS_BY_KIND: Readonly<Record<StoreErrorKind, number>> = {
  [StoreErrorKind.NOT_FOUND]: 404,
  [StoreErrorKind.CONFLICT]: 409,
  [StoreErrorKind.HISTORY_GONE]: 410,
  [StoreErrorKind.UNAVAILABLE]: 503,
  [StoreErrorKind.OUTCOME_UNKNOWN]: 500,
};

/** The platform's object API as a program. */
export function createObjectApiServer(
  table = new ObjectTable(),
): StandInServer {
  const server = new StandInServer(() => ({writes: table.writes}));
  const {app} = server;
  app.get('/objects', (request, response) => {
    const prefix = queryOf(request).get('prefix') ?? '';
    answer(response, table.list(prefix));
  });
  app.get('/objects/:key', (request, response) =>
    answer(response, table.get(keyOf(request))),
  );
  app.put('/objects/:key', async (request, response) => {
    const value = await readJson(request);
    const key = keyOf(request);
    const version = request.headers['if-match'];
    const written =
      version === undefined
        ? table.create(key, value)
        : table.update(key, value, Number(version));
    answer(response, written);
  });
  app.delete('/objects/:key', (request, response) => {
    const version = Number(request.headers['if-match']);
    const deleted = table.delete(keyOf(request), version);
    answer(
      response,
      deleted.map(() => ({})),
    );
  });
  app.get('/watch', async (request, response) => {
    const query = queryOf(request);
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const batch = await table.watch(
      query.get('prefix') ?? '',
      Number(query.get('after')),
      Number(query.get('wait_milliseconds')),
      gone.signal,
    );
    answer(response, batch);
  });
  return server;
}

function answer<T>(response: Response, result: Result<T, StoreError>): void {
  if (result.ok) sendJson(response, 200, result.val);
  else {
    const {kind, message} = result.val;
    sendJson(response, STATUS_BY_KIND[kind], {kind, message});
  }
}

function keyOf(request: Request): string {
  return decodeURIComponent(request.params['key']);
}

function queryOf(request: Request): URLSearchParams {
  return new URL(request.originalUrl ?? '/', 'http://stand-in').searchParams;
}
