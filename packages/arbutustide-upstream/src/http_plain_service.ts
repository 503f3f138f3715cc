import type {Result} from 'ts-results';

import type {AttemptRequest, AttemptResult} from './attempt.js';
import type {AttemptError} from './attempt_error.js';
import type {HttpConnectionOptions} from './http_connection.js';
import type {PlainService, ServiceReport} from './plain_service.js';

import {z} from 'zod';

import {HttpConnection} from './http_connection.js';

const reportSchema = z.object({
  serviceStart: z.string(),
  inFlight: z.number(),
  isLeaving: z.boolean(),
});

/** A plain service over HTTP. */
export class HttpPlainService implements PlainService {
  private readonly connection: HttpConnection;

  constructor(options: HttpConnectionOptions) {
    this.connection = new HttpConnection(options);
  }

  attempt(request: AttemptRequest): AttemptResult {
    return this.connection.attempt(request, {});
  }

  report(): Promise<Result<ServiceReport, AttemptError>> {
    return this.connection.call({
      method: 'GET',
      path: '/report',
      schema: reportSchema,
    });
  }

  renewConnections(): void {
    this.connection.renew();
  }

  close(): Promise<void> {
    return this.connection.close();
  }
}
