import type {RefusalError} from '@arbutustide/errors';
import type {RoutedRequest} from '@arbutustide/routing';

import type {ShutdownTimes} from './proxy_settings.js';

import {createStoppingRefusal} from '@arbutustide/errors';

/**
 * Requests of a service take different times; most end within this multiple of
 * their mean.
 */
const LONGEST_TIME_FACTOR = 2;

/** What the time that a request may take depends on. */
type TimedRequest = Pick<RoutedRequest, 'service' | 'deadlineAtMilliseconds'>;

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
  refuse(request: TimedRequest): RefusalError | undefined {
    const {beganAtMilliseconds: beganAt} = this;
    if (beganAt === undefined) return undefined;
    const {balancerRemovalMilliseconds, drainMilliseconds} = this.options;
    const now = performance.now();
    const isExpected = now < beganAt + balancerRemovalMilliseconds;
    const endAt = now + this.longestMilliseconds(request, now);
    if (isExpected && endAt <= beganAt + drainMilliseconds) return undefined;
    return createStoppingRefusal();
  }

  /** Time that the request may take, at most until its deadline. */
  private longestMilliseconds(
    {service, deadlineAtMilliseconds}: TimedRequest,
    now: number,
  ): number {
    const mean = this.options.meanMilliseconds(service) ?? Infinity;
    return Math.min(deadlineAtMilliseconds - now, mean * LONGEST_TIME_FACTOR);
  }
}
