import type {Engine, PlainService} from '@arbutustide/upstream';

import type {Upstream} from './upstream.js';

/** Gives the connections to an upstream, kept between requests. */
export interface UpstreamConnector {
  engine(upstream: Upstream): Engine;
  service(upstream: Upstream): PlainService;
}
