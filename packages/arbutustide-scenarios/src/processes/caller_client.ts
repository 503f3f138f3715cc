import type {RunningNodeProcess} from './process_cluster.js';

import {fetch} from 'undici';

/** An answer as a caller got it. */
export interface ReceivedAnswer {
  /** Zero when the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the body ended as its framing says. */
  readonly isWhole: boolean;
  readonly ran: string | null;
  readonly upstream: string | null;
}

/** Sends a completion and reads its answer to the end. */
export function complete(
  node: RunningNodeProcess,
  body: object,
): Promise<ReceivedAnswer> {
  return exchange(`${node.callerUrl}/v1/completions`, JSON.stringify(body));
}

/** A streamed completion that is being read. */
export interface StartedStream {
  /** Resolves once the caller has the first bytes of the answer. */
  readonly begun: Promise<void>;
  readonly answer: Promise<ReceivedAnswer>;
}

/** Sends a streamed completion and reads it piece by piece. */
export function startStream(
  node: RunningNodeProcess,
  body: object,
): StartedStream {
  let begin = () => {};
  const begun = new Promise<void>(resolve => {
    begin = resolve;
  });
  const answer = exchange(
    `${node.callerUrl}/v1/completions`,
    JSON.stringify({...body, stream: true}),
    undefined,
    begin,
  );
  return {begun, answer};
}

/** Records a release under a key. */
export function recordRelease(
  node: RunningNodeProcess,
  key: string,
): Promise<ReceivedAnswer> {
  const url = `${node.callerUrl}/services/release/batches`;
  return exchange(url, JSON.stringify({batch: key}), key);
}

async function exchange(
  url: string,
  body: string,
  key?: string,
  onFirstPiece: () => void = () => {},
): Promise<ReceivedAnswer> {
  const headers: Record<string, string> = {'content-type': 'application/json'};
  if (key !== undefined) headers['idempotency-key'] = key;
  try {
    const response = await fetch(url, {method: 'POST', headers, body});
    const head = {
      status: response.status,
      ran: response.headers.get('x-request-ran'),
      upstream: response.headers.get('x-upstream'),
    };
    let received = '';
    try {
      for await (const piece of response.body ?? []) {
        received += Buffer.from(piece as Uint8Array).toString('utf8');
        onFirstPiece();
      }
      return {...head, body: received, isWhole: true};
    } catch {
      return {...head, body: received, isWhole: false};
    }
  } catch {
    return {status: 0, body: '', isWhole: false, ran: null, upstream: null};
  }
}
