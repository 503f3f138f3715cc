import type {
  RelayRequestRequest,
  RelayResponsePart,
} from '@arbutustide/membership';
import type {ProxyAnswer, ProxyDispatcher} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ShutdownAdmission} from '../shutdown_admission.js';

import {Cancellation, ErrorKind, RefusalError} from '@arbutustide/errors';
import {turnQueue} from '@arbutustide/event-loop';
import {AnswerEnd} from '@arbutustide/routing';

import {
  decodeRelayedProgress,
  decodeRelayedRequest,
  encodeHead,
  encodeRefusal,
} from './relay_messages.js';

/**
 * Passes requests on for peers that cannot reach upstreams, like requests of
 * this node's own callers.
 */
export class RelayServer {
  private activeRequests = 0;

  /** @param isPeer whether this is the identity of a known node. */
  constructor(
    private readonly dispatcher: Pick<ProxyDispatcher, 'dispatch'>,
    private readonly isPeer: (identity: string) => boolean,
    private readonly shutdownAdmission: Pick<ShutdownAdmission, 'refuse'>,
    private readonly logger: NodeLogger,
  ) {}

  /** Number of requests that have arrived and are not fully answered. */
  get inFlightRequests(): number {
    return this.activeRequests;
  }

  /** @param signal aborted when the peer gives the request up. */
  async *handle(
    message: RelayRequestRequest,
    signal: AbortSignal,
  ): AsyncGenerator<RelayResponsePart> {
    const {sender, requestId} = message;
    const disconnection = new Cancellation();
    const request = decodeRelayedRequest(message, disconnection);
    if (!request || !this.isPeer(sender)) {
      this.logger.warn({sender, requestId}, 'refused to pass a request on');
      const reason = 'not a request that a known node passes on';
      yield encodeRefusal(new RefusalError(ErrorKind.NOT_READY, reason));
      return;
    }
    const stopping = this.shutdownAdmission.refuse(request);
    if (stopping) {
      yield encodeRefusal(stopping);
      return;
    }
    const disconnect = () => disconnection.cancel(signal.reason);
    if (signal.aborted) disconnect();
    signal.addEventListener('abort', disconnect, {once: true});
    this.activeRequests += 1;
    try {
      const callerSeenAtMilliseconds = await turnQueue.nextTurn(
        () => !signal.aborted,
      );
      if (signal.aborted) return;
      const progress = decodeRelayedProgress(message);
      const answer = await this.dispatcher.dispatch(
        {...request, callerSeenAtMilliseconds},
        progress,
      );
      if (!answer.ok) {
        yield encodeRefusal(answer.val);
        return;
      }
      const {body} = answer.val;
      if (Buffer.isBuffer(body)) {
        yield encodeHead(answer.val, progress.attempts);
        yield* encodeBuffer(body);
        return;
      }
      // A stream that has not begun would not give its slot back when it ends.
      const firstChunk = body.next();
      try {
        yield encodeHead(answer.val, progress.attempts);
        yield* encodeStream(body, firstChunk);
      } finally {
        disconnect();
        await body.return(AnswerEnd.ABANDONED);
      }
    } finally {
      signal.removeEventListener('abort', disconnect);
      this.activeRequests -= 1;
    }
  }
}

type StreamedBody = Exclude<ProxyAnswer['body'], Buffer>;

function* encodeBuffer(body: Buffer): Generator<RelayResponsePart> {
  if (body.length > 0) yield {part: {case: 'chunk', value: body}};
  yield {part: {case: 'isWhole', value: true}};
}

async function* encodeStream(
  body: StreamedBody,
  firstChunk: ReturnType<StreamedBody['next']>,
): AsyncGenerator<RelayResponsePart> {
  let chunk = await firstChunk;
  for (; !chunk.done; chunk = await body.next())
    yield {part: {case: 'chunk', value: chunk.value}};
  const isWhole = chunk.value === AnswerEnd.WHOLE;
  yield {part: {case: 'isWhole', value: isWhole}};
}
