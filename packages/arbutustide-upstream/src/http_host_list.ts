import type {Result} from 'ts-results';

import type {AttemptError} from './attempt_error.js';
import type {UpstreamConnectionOptions} from './upstream_connection_pool.js';
import type {HostList, PlatformHost} from './platform_host.js';

import {z} from 'zod';

import {UpstreamConnectionPool} from './upstream_connection_pool.js';
import {HostKind, HostState} from './platform_host.js';

const hostsSchema = z.object({
  hosts: z.array(
    z.object({
      id: z.string(),
      kind: z.enum(HostKind),
      url: z.string(),
      region: z.string(),
      failureDomain: z.string(),
      state: z.enum(HostState),
      group: z.string().optional(),
      checksFencing: z.boolean().default(false),
    }),
  ),
});

/** HTTP client of the platform's host list. */
export class HttpHostList implements HostList {
  private readonly connectionPool: UpstreamConnectionPool;

  constructor(options: UpstreamConnectionOptions) {
    this.connectionPool = new UpstreamConnectionPool(options);
  }

  async fetchHosts(): Promise<Result<readonly PlatformHost[], AttemptError>> {
    const answer = await this.connectionPool.callJson({
      method: 'GET',
      path: '/hosts',
      schema: hostsSchema,
    });
    return answer.map(({hosts}) => hosts);
  }

  /** Closes the connections to the host list. */
  close(): Promise<void> {
    return this.connectionPool.close();
  }
}
