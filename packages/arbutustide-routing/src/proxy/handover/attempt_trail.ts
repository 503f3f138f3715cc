import type {AttemptTarget} from '../attempt_target.js';

/** One attempt of a stream, as it is logged if the stream breaks off. */
export interface AttemptTrace {
  readonly upstream: string;
  /** From the request's arrival until it was sent. */
  readonly sentAfterMilliseconds: number;
  /** Whether the upstream was told to serve it before all others. */
  readonly isUrgent: boolean;
  /** Requests in flight there when it was sent, as far as was known. */
  readonly load?: number;
  /** Age of the upstream's last report of its load. */
  readonly reportAgeMilliseconds?: number;
}

/** Where a stream has been sent, and what was known of each place. */
export class AttemptTrail {
  private readonly recorded: AttemptTrace[] = [];

  /** @param arrivedAtMilliseconds of the request, by the monotonic clock. */
  constructor(private readonly arrivedAtMilliseconds: number) {}

  get traces(): readonly AttemptTrace[] {
    return this.recorded;
  }

  /** Records that the stream is sent to the target. */
  record({upstreamId, upstream}: AttemptTarget, isUrgent: boolean): void {
    const reportAge = upstream?.reportAgeMilliseconds;
    this.recorded.push({
      upstream: upstreamId,
      sentAfterMilliseconds: Math.round(
        performance.now() - this.arrivedAtMilliseconds,
      ),
      isUrgent,
      ...(upstream && {load: Math.round(upstream.estimatedInFlight)}),
      ...(reportAge !== undefined && {
        reportAgeMilliseconds: Math.round(reportAge),
      }),
    });
  }
}
