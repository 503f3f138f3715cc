import type {Request, Response} from '@tinyhttp/app';
import type {EngineOrder} from '@arbutustide/upstream';

import type {StandInEngine} from './stand_in_engine.js';
import type {Generation} from './generation.js';

import {
  ATTEMPT_ID_HEADER,
  UPSTREAM_LEAVING_HEADER,
} from '@arbutustide/upstream';

import {GenerationState} from './generation.js';
import {readJsonBody, sendJson, StandInServer} from './stand_in_server.js';

const DEFAULT_TOKEN_COUNT = 16;
const LEAVING_STATUS = 503;

/** The fields of a completion request that the engine reads. */
interface CompletionRequest {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt?: string;
  readonly messages?: unknown;
}

/**
 * Serves a model engine over HTTP: completions, resumption of streams by
 * attempt, orders of the planner, its report and its prefix cache events.
 */
export function createEngineServer(engine: StandInEngine): StandInServer {
  const server = new StandInServer(() => collectRecords(engine));
  const {app} = server;
  const handleRequest = (request: Request, response: Response) =>
    handleCompletion(engine, request, response);
  app.post('/v1/chat/completions', handleRequest);
  app.post('/v1/completions', handleRequest);
  app.get('/v1/attempts/:id', (request, response) => {
    const state = engine.findAttemptState(request.params['id']);
    sendJson(response, 200, {state});
  });
  app.get('/v1/attempts/:id/stream', async (request, response) => {
    const generation = engine.findGeneration(request.params['id']);
    if (!generation) return sendJson(response, 404, {});
    const lastEventId = request.headers['last-event-id'];
    const fromIndex = lastEventId ? Number(lastEventId) + 1 : 0;
    await sendStream(generation, fromIndex, response);
  });
  app.post('/orders', async (request, response) => {
    const order = (await readJsonBody(request)) as EngineOrder;
    sendJson(response, 200, await engine.executeOrder(order));
  });
  app.get('/report', (_request, response) =>
    sendJson(response, 200, engine.createReport()),
  );
  app.get('/cache-events', (request, response) => {
    const url = new URL(request.originalUrl ?? '/', 'http://stand-in');
    const after = Number(url.searchParams.get('after'));
    sendJson(response, 200, {events: engine.cacheEventsAfter(after)});
  });
  app.post('/stand-in/leave', (_request, response) => {
    engine.isLeaving = true;
    sendJson(response, 200, {});
  });
  return server;
}

function collectRecords(engine: StandInEngine) {
  return {
    engineStart: engine.instanceId,
    runs: engine.runs.map(run => ({
      requestId: run.requestId,
      attemptId: run.attemptId,
      item: run.item,
      prompt: run.prompt,
      end: run.generation.state,
    })),
    orders: engine.orders,
    overcommits: engine.overcommits,
    cacheHits: engine.cacheHits,
  };
}

async function handleCompletion(
  engine: StandInEngine,
  request: Request,
  response: Response,
): Promise<void> {
  const body = (await readJsonBody(request)) as CompletionRequest;
  response.setHeader(ATTEMPT_ID_HEADER, readAttemptId(request));
  if (engine.isLeaving) {
    response.setHeader(UPSTREAM_LEAVING_HEADER, '1');
    sendJson(response, LEAVING_STATUS, {reason: 'leaving'});
    return;
  }
  if (!engine.canServe(body.model)) {
    sendJson(response, 404, {reason: `${body.model} is not resident`});
    return;
  }
  const generation = engine.startGeneration({
    attemptId: readAttemptId(request),
    requestId: String(request.headers['x-request-id'] ?? ''),
    item: body.model,
    prompt: body.prompt ?? JSON.stringify(body.messages ?? ''),
    tokenCount: body.max_tokens ?? DEFAULT_TOKEN_COUNT,
    priority: Number(request.headers['x-priority'] ?? 0),
  });
  if (body.stream) await sendStream(generation, 0, response);
  else await sendCompleteAnswer(generation, response);
}

function readAttemptId(request: Request): string {
  return String(request.headers[ATTEMPT_ID_HEADER] ?? '');
}

async function sendCompleteAnswer(
  generation: Generation,
  response: Response,
): Promise<void> {
  const disconnection = createDisconnectionSignal(response);
  const tokens: string[] = [];
  for await (const token of generation.readTokens(0, disconnection))
    tokens.push(token);
  if (generation.state !== GenerationState.COMPLETED) {
    response.destroy();
    return;
  }
  const {item, attemptId} = generation.request;
  const text = tokens.join('');
  sendJson(response, 200, {
    id: attemptId,
    object: 'chat.completion',
    created: 0,
    model: item,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: text},
        text,
        finish_reason: 'stop',
      },
    ],
    usage: {
      prompt_tokens: 1,
      completion_tokens: tokens.length,
      total_tokens: tokens.length + 1,
    },
  });
}

async function sendStream(
  generation: Generation,
  fromIndex: number,
  response: Response,
): Promise<void> {
  const {attemptId, item} = generation.request;
  const disconnection = createDisconnectionSignal(response);
  response.setHeader(ATTEMPT_ID_HEADER, attemptId);
  response.writeHead(200, {'content-type': 'text/event-stream'});
  response.flushHeaders();
  let index = fromIndex;
  for await (const token of generation.readTokens(fromIndex, disconnection)) {
    const chunk = {
      id: attemptId,
      object: 'chat.completion.chunk',
      created: 0,
      model: item,
      choices: [{index: 0, delta: {content: token}, text: token}],
    };
    response.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
    index += 1;
  }
  if (generation.state !== GenerationState.COMPLETED) {
    response.destroy();
    return;
  }
  const finalChunk = {
    id: attemptId,
    object: 'chat.completion.chunk',
    created: 0,
    model: item,
    choices: [{index: 0, delta: {}, text: '', finish_reason: 'stop'}],
  };
  response.write(`id: ${index}\ndata: ${JSON.stringify(finalChunk)}\n\n`);
  response.end(`id: ${index + 1}\ndata: [DONE]\n\n`);
}

function createDisconnectionSignal(response: Response): AbortSignal {
  const disconnection = new AbortController();
  response.once('close', () => disconnection.abort());
  return disconnection.signal;
}
