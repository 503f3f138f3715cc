import type {RoutedRequest} from '@arbutustide/routing';

import type {ShutdownTimes} from './proxy_settings.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';

/** Short, because another node can take the request at once. */
const RETRY_AFTER_MILLISECONDS = 100;

/**
 * Requests of a service take different times; most end within this multiple of
 * their mean.
 */
const LONGEST_TIME_FACTOR = 2;

/** Dependencies of the admission of requests in a shutdown. */
export interface ShutdownAdmissionOptions extends ShutdownTimes {
  /** Mean time of a service's requests; undefined if not yet measured. */
  readonly meanMilliseconds: (service: string) => number | undefined;
}

/**
 * Decides which requests a node still takes while it shuts down. One that it can
 * no longer answer is refused at once as not run: taken, it would be cut off at
 * the end of the grace period, and one that must run once would be lost.
 */
export class ShutdownAdmission {
  private beganAtMilliseconds: number | undefined;

  constructor(private readonly options: ShutdownAdmissionOptions) {}

  /** Begins the shutdown. */
  begin(): void {
    this.beganAtMilliseconds ??= performance.now();
  }

  /** The refusal of a request that arrives now; undefined if it is taken. */
  refuse(
    request: Pick<RoutedRequest, 'service' | 'deadlineAtMilliseconds'>,
  ): RefusalError | undefined {
    const {beganAtMilliseconds: beganAt} = this;
    if (beganAt === undefined) return undefined;
    const {balancerRemovalMilliseconds, drainMilliseconds} = this.options;
    const now = performance.now();
    const isExpected = now < beganAt + balancerRemovalMilliseconds;
    const endAt = now + this.longestMilliseconds(request, now);
    if (isExpected && endAt <= beganAt + drainMilliseconds) return undefined;
    return new RefusalError(
      ErrorKind.NOT_READY,
      'this node is about to stop; another one takes the request',
      {retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS},
    );
  }

  /** Time that the request may take, at most until its deadline. */
  private longestMilliseconds(
    {
      service,
      deadlineAtMilliseconds,
    }: Pick<RoutedRequest, 'service' | 'deadlineAtMilliseconds'>,
    now: number,
  ): number {
    const mean = this.options.meanMilliseconds(service) ?? Infinity;
    return Math.min(deadlineAtMilliseconds - now, mean * LONGEST_TIME_FACTOR);
  }
}
