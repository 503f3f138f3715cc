import type {CallerAnswer, CallerRequest} from '@arbutustide/routing';
import type {NodeMetrics} from '@arbutustide/telemetry';
import type {ServerResponse} from 'node:http';

import {once} from 'node:events';

import {createRefusalAnswer, type RefusalError} from '@arbutustide/errors';
import {AnswerEnd} from '@arbutustide/routing';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Answers a refused request with the status, headers and body defined for the
 * refusal's kind. If an answer has already begun, the connection is destroyed
 * instead.
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: RefusalError,
  requestId: string,
  metrics: NodeMetrics,
): void {
  metrics.refusals.inc({kind: refusal.kind, ran: refusal.ran});
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const {status, headers, body} = createRefusalAnswer(refusal, requestId);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Relays one answer to its caller and records its latency metrics. */
export class AnswerWriter {
  private readonly labels: {tenant: string; class: string};
  private lastChunkAtMilliseconds: number;
  private hasReceivedChunk = false;

  /**
   * @param arrivedAtMilliseconds when the request's headers were read, by the
   *     monotonic clock.
   * @param readsToEndAfterDisconnection whether to read a streamed answer to
   *     its end even if the caller disconnects, so that the outcome of a
   *     request that is not idempotent is known.
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly request: CallerRequest,
    private readonly metrics: NodeMetrics,
    private readonly arrivedAtMilliseconds: number,
    private readonly readsToEndAfterDisconnection: boolean,
  ) {
    this.labels = {
      tenant: request.caller,
      class: request.requestClass.name,
    };
    this.lastChunkAtMilliseconds = arrivedAtMilliseconds;
  }

  /**
   * Relays the answer and returns how it ended. An answer of known length is
   * buffered, any other is streamed chunk by chunk.
   */
  async write(answer: CallerAnswer): Promise<AnswerEnd> {
    const {chunks: bodyChunks} = answer;
    this.metrics.queuedSeconds.observe(
      this.labels,
      answer.queuedMilliseconds / MILLISECONDS_PER_SECOND,
    );
    if (answer.lengthBytes !== undefined) return this.writeBuffered(answer);
    this.writeHead(answer);
    for (;;) {
      const result = await bodyChunks.next();
      if (result.done) return this.finishStream(result.value);
      this.observeChunkLatency();
      if (this.isCallerDisconnected && !this.readsToEndAfterDisconnection) {
        await bodyChunks.return(AnswerEnd.ABANDONED);
        return AnswerEnd.ABANDONED;
      }
      await this.writeChunk(result.value);
    }
  }

  /** Buffers an answer of known length and sends it with a single write. */
  private async writeBuffered(answer: CallerAnswer): Promise<AnswerEnd> {
    const chunks: Uint8Array[] = [];
    for (;;) {
      const result = await answer.chunks.next();
      if (result.done) {
        if (!this.isCallerDisconnected) {
          this.writeHead(answer);
          this.response.end(
            chunks.length === 1 ? chunks[0] : Buffer.concat(chunks),
          );
        }
        this.observeRequestDuration();
        return result.value;
      }
      if (chunks.length === 0) this.observeChunkLatency();
      chunks.push(result.value);
    }
  }

  private get isCallerDisconnected(): boolean {
    return this.response.destroyed || this.request.disconnection.isCancelled;
  }

  private writeHead(answer: CallerAnswer): void {
    if (this.isCallerDisconnected) return;
    const headers: Record<string, string | number> = {
      'content-type': answer.contentType,
      'x-request-id': this.request.requestId,
    };
    if (answer.upstreamId) headers['x-upstream'] = answer.upstreamId;
    if (answer.lengthBytes !== undefined) {
      headers['content-length'] = answer.lengthBytes;
    }
    this.response.writeHead(answer.status, headers);
  }

  /** Writes a chunk; under backpressure waits until the socket drains. */
  private async writeChunk(chunk: Uint8Array): Promise<void> {
    if (this.isCallerDisconnected) return;
    const isBelowHighWaterMark = this.response.write(chunk);
    if (isBelowHighWaterMark) return;
    const listenerController = new AbortController();
    const {signal} = listenerController;
    await Promise.race([
      once(this.response, 'drain', {signal}),
      once(this.response, 'close', {signal}),
    ]).catch(() => {});
    listenerController.abort();
  }

  private observeChunkLatency(): void {
    const nowMilliseconds = performance.now();
    const histogram = this.hasReceivedChunk
      ? this.metrics.betweenTokensSeconds
      : this.metrics.firstTokenSeconds;
    const startMilliseconds = this.hasReceivedChunk
      ? this.lastChunkAtMilliseconds
      : this.arrivedAtMilliseconds;
    histogram.observe(
      this.labels,
      (nowMilliseconds - startMilliseconds) / MILLISECONDS_PER_SECOND,
    );
    this.hasReceivedChunk = true;
    this.lastChunkAtMilliseconds = nowMilliseconds;
  }

  /**
   * Ends the response if the answer is complete. Otherwise closes the
   * connection without the end of the response, because the caller must not
   * take a truncated answer for a complete one.
   */
  private finishStream(end: AnswerEnd): AnswerEnd {
    this.observeRequestDuration();
    if (end === AnswerEnd.WHOLE) this.response.end();
    else this.destroyConnection();
    return end;
  }

  private observeRequestDuration(): void {
    const elapsedMilliseconds = performance.now() - this.arrivedAtMilliseconds;
    this.metrics.requestSeconds.observe(
      this.labels,
      elapsedMilliseconds / MILLISECONDS_PER_SECOND,
    );
  }

  private destroyConnection(): void {
    this.response.socket?.destroySoon();
  }
}
