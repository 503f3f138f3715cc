import type {RunningNodeProcess} from './process_cluster.js';

import {fetch} from 'undici';

/** What a caller received for one request. */
export interface ReceivedAnswer {
  /** Zero if the connection failed before a response. */
  readonly status: number;
  readonly body: string;
  /** Whether the body ended as the HTTP framing says. */
  readonly isComplete: boolean;
  /** Header `x-request-ran` of a refusal. */
  readonly executionStatus: string | null;
  /** Header `x-upstream`: the upstream that produced the answer. */
  readonly upstream: string | null;
}

/** Sends a completion request and reads its answer to the end. */
export function sendCompletion(
  node: RunningNodeProcess,
  body: object,
): Promise<ReceivedAnswer> {
  return sendRequest(`${node.callerUrl}/v1/completions`, JSON.stringify(body));
}

/** A streamed completion whose answer is being read. */
export interface StartedStream {
  /** Resolves when the first chunk of the body arrives. */
  readonly firstBytesReceived: Promise<void>;
  readonly answer: Promise<ReceivedAnswer>;
}

/** Sends a streamed completion request and reads its answer chunk by chunk. */
export function startCompletionStream(
  node: RunningNodeProcess,
  body: object,
): StartedStream {
  let resolveFirstBytes = () => {};
  const firstBytesReceived = new Promise<void>(resolve => {
    resolveFirstBytes = resolve;
  });
  const answer = sendRequest(
    `${node.callerUrl}/v1/completions`,
    JSON.stringify({...body, stream: true}),
    undefined,
    resolveFirstBytes,
  );
  return {firstBytesReceived, answer};
}

/** Sends a release, a call that is not idempotent, with an idempotency key. */
export function recordRelease(
  node: RunningNodeProcess,
  idempotencyKey: string,
): Promise<ReceivedAnswer> {
  const url = `${node.callerUrl}/services/release/batches`;
  return sendRequest(
    url,
    JSON.stringify({batch: idempotencyKey}),
    idempotencyKey,
  );
}

async function sendRequest(
  url: string,
  body: string,
  idempotencyKey?: string,
  onChunk: () => void = () => {},
): Promise<ReceivedAnswer> {
  const headers: Record<string, string> = {'content-type': 'application/json'};
  if (idempotencyKey !== undefined) headers['idempotency-key'] = idempotencyKey;
  try {
    const response = await fetch(url, {method: 'POST', headers, body});
    const responseHead = {
      status: response.status,
      executionStatus: response.headers.get('x-request-ran'),
      upstream: response.headers.get('x-upstream'),
    };
    let receivedBody = '';
    try {
      for await (const chunk of response.body ?? []) {
        receivedBody += Buffer.from(chunk as Uint8Array).toString('utf8');
        onChunk();
      }
      return {...responseHead, body: receivedBody, isComplete: true};
    } catch {
      return {...responseHead, body: receivedBody, isComplete: false};
    }
  } catch {
    return {
      status: 0,
      body: '',
      isComplete: false,
      executionStatus: null,
      upstream: null,
    };
  }
}
