import type {Engine, PlainService} from '@arbutustide/upstream';

import type {Upstream} from './upstream.js';

/** Provides clients whose connections to an upstream are reused. */
export interface UpstreamConnector {
  engine(upstream: Upstream): Engine;
  service(upstream: Upstream): PlainService;
}
