import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {ProxyAnswer} from './proxy_answer.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';

import {Err, Ok} from 'ts-results';

import {AnswerEnd} from '../caller_request.js';
import {unbegunStreamRefusal} from './proxy_refusals.js';

type StreamedChunk = IteratorResult<Uint8Array, AnswerEnd>;
type StreamedBody = AsyncGenerator<Uint8Array, AnswerEnd, undefined>;

/**
 * Waits for the first event of a streamed answer, or for the end of a stream
 * that has none. Upstreams send the head of a stream before they work on it; a
 * caller that has a head can no longer be told that nothing followed it.
 *
 * @param refuseToBegin the refusal that the caller gets instead of the first
 *     event; undefined if the stream begins.
 */
export async function awaitFirstEvent(
  progress: RoutedRequestProgress,
  answer: ProxyAnswer,
  refuseToBegin: () => RefusalError | undefined = () => undefined,
): Promise<Result<ProxyAnswer, RefusalError>> {
  const {body} = answer;
  if (Buffer.isBuffer(body)) return Ok(answer);
  const first = await body.next();
  if (first.done && first.value !== AnswerEnd.WHOLE)
    return Err(unbegunStreamRefusal(progress));
  const refusal = first.done ? undefined : refuseToBegin();
  if (refusal) {
    await body.return(AnswerEnd.ABANDONED);
    return Err(refusal);
  }
  const {attempts} = progress;
  return Ok({...answer, attempts, body: new BegunStream(first, body)});
}

/**
 * A stream whose first chunk has been read. Unlike a generator around it, it
 * ends the stream on `return` also if nothing was read from it.
 */
class BegunStream implements StreamedBody {
  private first: StreamedChunk | undefined;

  constructor(
    first: StreamedChunk,
    private readonly rest: StreamedBody,
  ) {
    this.first = first;
  }

  async next(): Promise<StreamedChunk> {
    const {first} = this;
    this.first = undefined;
    return first ?? this.rest.next();
  }

  return(end: AnswerEnd | PromiseLike<AnswerEnd>): Promise<StreamedChunk> {
    this.first = undefined;
    return this.rest.return(end);
  }

  throw(error: unknown): Promise<StreamedChunk> {
    this.first = undefined;
    return this.rest.throw(error);
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}
