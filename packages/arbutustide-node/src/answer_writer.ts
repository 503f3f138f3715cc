import type {CallerAnswer, CallerRequest} from '@arbutustide/routing';
import type {NodeMetrics} from '@arbutustide/telemetry';
import type {ServerResponse} from 'node:http';

import {once} from 'node:events';

import {refusalAnswer, type RefusalError} from '@arbutustide/errors';
import {AnswerEnd} from '@arbutustide/routing';

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a refusal in the form its kind has in the table. */
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
  const {status, headers, body} = refusalAnswer(refusal, requestId);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Relays one answer to its caller and measures it. */
export class AnswerWriter {
  private readonly labels: {tenant: string; class: string};
  private lastPieceAt: number;
  private hasPiece = false;

  /**
   * @param arrivedAt when the request's head was read, by the monotonic clock.
   * @param drainsWhenGone whether the answer is read to its end even after the
   *     caller went away, so that its outcome is known.
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly request: CallerRequest,
    private readonly metrics: NodeMetrics,
    private readonly arrivedAt: number,
    private readonly drainsWhenGone: boolean,
  ) {
    this.labels = {
      tenant: request.caller,
      class: request.requestClass.name,
    };
    this.lastPieceAt = arrivedAt;
  }

  /** Writes the answer and returns how it ended. */
  async write(answer: CallerAnswer): Promise<AnswerEnd> {
    const {pieces} = answer;
    this.metrics.queuedSeconds.observe(
      this.labels,
      answer.queuedMilliseconds / MILLISECONDS_PER_SECOND,
    );
    if (answer.lengthBytes !== undefined) return this.writeWhole(answer);
    this.writeHead(answer);
    for (;;) {
      const piece = await pieces.next();
      if (piece.done) return this.end(piece.value);
      this.measurePiece();
      if (this.isGone && !this.drainsWhenGone) {
        await pieces.return(AnswerEnd.ABANDONED);
        return AnswerEnd.ABANDONED;
      }
      await this.writePiece(piece.value);
    }
  }

  /** Writes an answer that has arrived whole in one go. */
  private async writeWhole(answer: CallerAnswer): Promise<AnswerEnd> {
    const pieces: Uint8Array[] = [];
    for (;;) {
      const piece = await answer.pieces.next();
      if (piece.done) {
        if (!this.isGone) {
          this.writeHead(answer);
          this.response.end(
            pieces.length === 1 ? pieces[0] : Buffer.concat(pieces),
          );
        }
        this.measureWhole();
        return piece.value;
      }
      if (pieces.length === 0) this.measurePiece();
      pieces.push(piece.value);
    }
  }

  private get isGone(): boolean {
    return this.response.destroyed || this.request.presence.isCancelled;
  }

  private writeHead(answer: CallerAnswer): void {
    if (this.isGone) return;
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

  private async writePiece(piece: Uint8Array): Promise<void> {
    if (this.isGone) return;
    const hasRoom = this.response.write(piece);
    if (hasRoom) return;
    const over = new AbortController();
    const {signal} = over;
    await Promise.race([
      once(this.response, 'drain', {signal}),
      once(this.response, 'close', {signal}),
    ]).catch(() => {});
    over.abort();
  }

  private measurePiece(): void {
    const now = performance.now();
    const histogram = this.hasPiece
      ? this.metrics.betweenTokensSeconds
      : this.metrics.firstTokenSeconds;
    const since = this.hasPiece ? this.lastPieceAt : this.arrivedAt;
    histogram.observe(this.labels, (now - since) / MILLISECONDS_PER_SECOND);
    this.hasPiece = true;
    this.lastPieceAt = now;
  }

  /** A broken answer must not look complete, so its connection is cut. */
  private end(end: AnswerEnd): AnswerEnd {
    this.measureWhole();
    if (end === AnswerEnd.WHOLE) this.response.end();
    else this.cut();
    return end;
  }

  private measureWhole(): void {
    const elapsed = performance.now() - this.arrivedAt;
    this.metrics.requestSeconds.observe(
      this.labels,
      elapsed / MILLISECONDS_PER_SECOND,
    );
  }

  private cut(): void {
    this.response.socket?.destroySoon();
  }
}
