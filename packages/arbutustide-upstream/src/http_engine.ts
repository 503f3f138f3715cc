import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';
import type {
  CacheEvent,
  Engine,
  EngineOrder,
  EngineReport,
  OrderAnswer,
} from './engine.js';
import type {UpstreamConnectionOptions} from './upstream_connection_pool.js';

import {z} from 'zod';

import {AttemptState, OrderOutcome} from './engine.js';
import {UpstreamConnectionPool} from './upstream_connection_pool.js';

const reportSchema = z.object({
  engineStart: z.string(),
  memoryBytes: z.number(),
  acceleratorCount: z.number(),
  resident: z.array(
    z.object({
      item: z.string(),
      memoryBytes: z.number(),
      isDraining: z.boolean(),
    }),
  ),
  inFlight: z.number(),
  queued: z.number(),
  isLeaving: z.boolean(),
});

const orderAnswerSchema = z.object({
  orderId: z.string(),
  outcome: z.enum(OrderOutcome),
  engineStart: z.string(),
  reason: z.string().optional(),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      isStored: z.boolean(),
      item: z.string(),
      prefixDigest: z.string(),
    }),
  ),
});

const attemptStateSchema = z.object({state: z.enum(AttemptState)});

/** HTTP client of an engine; docs/INTERFACES.md describes the protocol. */
export class HttpEngine implements Engine {
  private readonly connectionPool: UpstreamConnectionPool;

  constructor(options: UpstreamConnectionOptions) {
    this.connectionPool = new UpstreamConnectionPool({
      ...options,
      requiresAttemptId: true,
    });
  }

  sendAttempt(request: AttemptRequest): AttemptResult {
    return this.connectionPool.sendAttempt(request, {});
  }

  resumeStream(request: AttemptRequest, lastEventId: string): AttemptResult {
    const resumed: AttemptRequest = {
      ...request,
      method: 'GET',
      path: `/v1/attempts/${request.attemptId}/stream`,
      body: undefined,
      contentType: undefined,
      sendCheck: undefined,
    };
    return this.connectionPool.sendAttempt(resumed, {
      'last-event-id': lastEventId,
    });
  }

  async fetchAttemptState(
    attemptId: string,
  ): Promise<Result<AttemptState, AttemptError>> {
    const answer = await this.connectionPool.callJson({
      method: 'GET',
      path: `/v1/attempts/${attemptId}`,
      schema: attemptStateSchema,
    });
    return answer.map(({state}) => state);
  }

  sendOrder(
    order: EngineOrder,
    timeoutMilliseconds: number,
  ): Promise<Result<OrderAnswer, AttemptError>> {
    return this.connectionPool.callJson({
      method: 'POST',
      path: '/orders',
      schema: orderAnswerSchema,
      body: order,
      timeoutMilliseconds,
    });
  }

  fetchReport(): Promise<Result<EngineReport, AttemptError>> {
    return this.connectionPool.callJson({
      method: 'GET',
      path: '/report',
      schema: reportSchema,
    });
  }

  async fetchCacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], AttemptError>> {
    const answer = await this.connectionPool.callJson({
      method: 'GET',
      path: `/cache-events?after=${afterSequence}`,
      schema: cacheEventsSchema,
    });
    return answer.map(({events}) => events);
  }

  renewConnections(): void {
    this.connectionPool.replaceConnections();
  }

  close(): Promise<void> {
    return this.connectionPool.close();
  }
}
