import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';
import type {UpstreamConnectionOptions} from './upstream_connection_pool.js';
import type {PlainService, ServiceReport} from './plain_service.js';

import {z} from 'zod';

import {UpstreamConnectionPool} from './upstream_connection_pool.js';

const reportSchema = z.object({
  serviceStart: z.string(),
  inFlight: z.number(),
  isLeaving: z.boolean(),
});

/** HTTP client of a plain service. */
export class HttpPlainService implements PlainService {
  private readonly connectionPool: UpstreamConnectionPool;

  constructor(options: UpstreamConnectionOptions) {
    this.connectionPool = new UpstreamConnectionPool(options);
  }

  sendAttempt(request: AttemptRequest): AttemptResult {
    return this.connectionPool.sendAttempt(request, {});
  }

  fetchReport(): Promise<Result<ServiceReport, AttemptError>> {
    return this.connectionPool.callJson({
      method: 'GET',
      path: '/report',
      schema: reportSchema,
    });
  }

  renewConnections(): void {
    this.connectionPool.replaceConnections();
  }

  close(): Promise<void> {
    return this.connectionPool.close();
  }
}
