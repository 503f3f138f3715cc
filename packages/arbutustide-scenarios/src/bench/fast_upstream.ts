import type {IncomingMessage, ServerResponse} from 'node:http';

import {createServer} from 'node:http';

/** Item that the fast upstream reports as resident. */
const RESIDENT_ITEM = 'fast-model@1';
const EVENT_COUNT = 16;

const COMPLETION_BODY = JSON.stringify({
  id: 'x',
  object: 'text_completion',
  choices: [{index: 0, text: 'token '.repeat(32), finish_reason: 'stop'}],
});
const EVENT_TEXTS = Array.from(
  {length: EVENT_COUNT},
  (_empty, index) =>
    `id: ${index}\ndata: {"choices":[{"index":0,"text":"token ${index}"}]}\n\n`,
);
const DONE_TEXT = `id: ${EVENT_COUNT}\ndata: [DONE]\n\n`;

const ENGINE_REPORT = JSON.stringify({
  engineStart: 'fast',
  memoryBytes: 1_000_000,
  acceleratorCount: 1,
  resident: [{item: RESIDENT_ITEM, memoryBytes: 1, isDraining: false}],
  inFlight: 0,
  queued: 0,
  isLeaving: false,
});

/** Starts an engine that answers without delay, to measure a relay before it. */
export function startFastUpstream(onPort: (port: number) => void): void {
  const server = createServer((request, response) => {
    if (request.method === 'GET') response.end(ENGINE_REPORT);
    else answerCompletion(request, response);
  });
  server.listen(0, '127.0.0.1', () => {
    onPort((server.address() as {port: number}).port);
  });
}

function answerCompletion(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  let body = '';
  request.on('data', (chunk: Buffer) => {
    body += chunk.toString('latin1');
  });
  request.on('end', () => {
    if (body.includes('"stream":true')) answerEventStream(response);
    else answerCompletionBody(response);
  });
}

function answerCompletionBody(response: ServerResponse): void {
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(COMPLETION_BODY),
  });
  response.end(COMPLETION_BODY);
}

/** Writes one event per turn of the event loop, as an engine does. */
function answerEventStream(response: ServerResponse): void {
  response.writeHead(200, {'content-type': 'text/event-stream'});
  let index = 0;
  const writeNext = () => {
    if (index === EVENT_COUNT) {
      response.end(DONE_TEXT);
      return;
    }
    response.write(EVENT_TEXTS[index]);
    index += 1;
    setImmediate(writeNext);
  };
  writeNext();
}
