import type {RunningNodeProcess} from './process_cluster.js';

import {fetch} from 'undici';

/** An answer as a caller got it. */
export interface ReceivedAnswer {
  /** Zero when the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the body ended as its framing says. */
  readonly isWhole: boolean;
  readonly executionStatus: string | null;
  readonly upstream: string | null;
}

/** Sends a completion and reads its answer to the end. */
export function complete(
  node: RunningNodeProcess,
  body: object,
): Promise<ReceivedAnswer> {
  return sendRequest(`${node.callerUrl}/v1/completions`, JSON.stringify(body));
}

/** A streamed completion that is being read. */
export interface StartedStream {
  /** Resolves once the caller has the first bytes of the answer. */
  readonly firstBytesReceived: Promise<void>;
  readonly answer: Promise<ReceivedAnswer>;
}

/** Sends a streamed completion and reads it piece by piece. */
export function startCompletionStream(
  node: RunningNodeProcess,
  body: object,
): StartedStream {
  let resolveFirstBytes = () => {};
  const begun = new Promise<void>(resolve => {
    resolveFirstBytes = resolve;
  });
  const answer = sendRequest(
    `${node.callerUrl}/v1/completions`,
    JSON.stringify({...body, stream: true}),
    undefined,
    resolveFirstBytes,
  );
  return {firstBytesReceived: begun, answer};
}

/** Records a release under a key. */
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
    const head = {
      status: response.status,
      executionStatus: response.headers.get('x-request-ran'),
      upstream: response.headers.get('x-upstream'),
    };
    let received = '';
    try {
      for await (const chunk of response.body ?? []) {
        received += Buffer.from(chunk as Uint8Array).toString('utf8');
        onChunk();
      }
      return {...head, body: received, isWhole: true};
    } catch {
      return {...head, body: received, isWhole: false};
    }
  } catch {
    return {
      status: 0,
      body: '',
      isWhole: false,
      executionStatus: null,
      upstream: null,
    };
  }
}
