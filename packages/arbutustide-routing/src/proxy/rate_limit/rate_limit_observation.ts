/** What one answer tells of the rate limit of its upstream. */
export interface RateLimitObservation {
  /**
   * Requests per second that the upstream takes from all nodes together;
   * undefined if it names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /**
   * Monotonic time up to which it is valid for certain: when an answer with a
   * limit arrived, or when a request was sent whose answer names none. Answers
   * may overtake each other.
   */
  readonly atMilliseconds: number;
}

/** Returns the observation that is valid up to a later time. */
export function laterObservation(
  left: RateLimitObservation,
  right: RateLimitObservation,
): RateLimitObservation {
  return right.atMilliseconds > left.atMilliseconds ? right : left;
}
