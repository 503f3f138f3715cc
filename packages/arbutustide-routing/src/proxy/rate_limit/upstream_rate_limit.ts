import type {RateLimitObservation} from './rate_limit_observation.js';
import type {TokenResponse} from './token_issuer.js';

import {laterObservation} from './rate_limit_observation.js';
import {
  MAXIMUM_ADVANCE_MILLISECONDS,
  tokenIntervalMilliseconds,
} from './token_schedule.js';

/**
 * How long a token may be used once it is valid. Tokens that were kept longer
 * could be used all at the same time.
 */
const TOKEN_LIFETIME_MILLISECONDS = 500;

/**
 * Longest time until an issuer without a token is asked again. Its estimate is
 * outdated when the limit ends or another node takes over.
 */
const MAXIMUM_REQUEST_PAUSE_MILLISECONDS = 2_000;

/**
 * The rate limit of one upstream's process, as far as this node knows it, and
 * this node's token for the next request to it.
 */
export class UpstreamRateLimit {
  private current: RateLimitObservation = {
    requestsPerSecond: undefined,
    atMilliseconds: -Infinity,
  };
  private tokenValidAtMilliseconds: number | undefined;
  private nextRequestAtMilliseconds = -Infinity;
  /** When a token is expected while none was issued. */
  private tokenExpectedAtMilliseconds = -Infinity;
  private intervalMilliseconds: number | undefined;

  /** The latest observation. */
  get observation(): RateLimitObservation {
    return this.current;
  }

  /** Whether the upstream has named a limit that still holds. */
  get isLimited(): boolean {
    return this.current.requestsPerSecond !== undefined;
  }

  /** Whether a request may be sent now. */
  get allowsRequest(): boolean {
    if (!this.isLimited) return true;
    const validAt = this.currentTokenValidAt();
    return validAt !== undefined && validAt <= performance.now();
  }

  /** Whether this node has no token and may ask for one again. */
  get isTokenRequestDue(): boolean {
    return (
      this.isLimited &&
      this.currentTokenValidAt() === undefined &&
      performance.now() >= this.nextRequestAtMilliseconds
    );
  }

  /**
   * Expected time until this node may send a request, in milliseconds; zero if
   * it may now.
   */
  get expectedWaitMilliseconds(): number {
    if (!this.isLimited) return 0;
    const now = performance.now();
    const validAt = this.currentTokenValidAt();
    if (validAt !== undefined) return Math.max(0, validAt - now);
    return Math.max(
      0,
      this.tokenExpectedAtMilliseconds - now,
      this.nextRequestAtMilliseconds - now,
    );
  }

  /** Requests per second that this node may expect to send. */
  get expectedRequestsPerSecond(): number {
    const {requestsPerSecond} = this.current;
    if (requestsPerSecond === undefined) return Infinity;
    const interval =
      this.intervalMilliseconds ?? tokenIntervalMilliseconds(requestsPerSecond);
    return 1_000 / interval;
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

  /** Consumes this node's token; without effect if there is no limit. */
  takeToken(): void {
    this.tokenValidAtMilliseconds = undefined;
  }

  /** Applies the issuer's answer to this node's request for a token. */
  recordTokenResponse(response: TokenResponse): void {
    const {observation, isIssued, waitMilliseconds} = response;
    this.record(observation);
    this.intervalMilliseconds = response.intervalMilliseconds;
    const now = performance.now();
    if (isIssued) {
      this.tokenValidAtMilliseconds = now + waitMilliseconds;
      return;
    }
    this.deferRequest(
      Math.min(waitMilliseconds, MAXIMUM_REQUEST_PAUSE_MILLISECONDS),
    );
    if (waitMilliseconds > 0)
      this.tokenExpectedAtMilliseconds =
        now + waitMilliseconds + MAXIMUM_ADVANCE_MILLISECONDS;
  }

  /** Sets the time until this node may ask for a token again. */
  deferRequest(milliseconds: number): void {
    this.nextRequestAtMilliseconds = Math.max(
      this.nextRequestAtMilliseconds,
      performance.now() + milliseconds,
    );
  }

  /** When the token is valid; undefined without one that can be used yet. */
  private currentTokenValidAt(): number | undefined {
    const validAt = this.tokenValidAtMilliseconds;
    const isExpired =
      validAt !== undefined &&
      performance.now() > validAt + TOKEN_LIFETIME_MILLISECONDS;
    if (isExpired) this.tokenValidAtMilliseconds = undefined;
    return this.tokenValidAtMilliseconds;
  }
}
