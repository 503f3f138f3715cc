import type {RateLimitObservation} from './rate_limit_observation.js';

import {laterObservation} from './rate_limit_observation.js';

/** The rate limit of one upstream's process, as far as this node knows it. */
export class UpstreamRateLimit {
  private current: RateLimitObservation = {
    requestsPerSecond: undefined,
    atMilliseconds: -Infinity,
  };

  /** The latest observation. */
  get observation(): RateLimitObservation {
    return this.current;
  }

  /** Whether the upstream has named a limit that still holds. */
  get isLimited(): boolean {
    return this.current.requestsPerSecond !== undefined;
  }

  /**
   * Records what an answer, or another node, tells of the limit.
   *
   * @return whether the limit has changed.
   */
  record(observation: RateLimitObservation): boolean {
    const before = this.current.requestsPerSecond;
    this.current = laterObservation(this.current, observation);
    return this.current.requestsPerSecond !== before;
  }
}
