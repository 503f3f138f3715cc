import type {Cancellation} from '@arbutustide/errors';

import type {FleetUpstream} from './fleet_upstream.js';
import type {RoutedRequest} from './routed_request.js';

import {Ran} from '@arbutustide/errors';

/** How far one request has come. */
export interface FleetProgress {
  readonly request: RoutedRequest;
  /** Same for requests that would do the same to an upstream. */
  readonly fingerprint: string;
  /** Cancelled when the caller is gone or the deadline has passed. */
  readonly cancel: Cancellation;
  /** Upstreams the request was sent to. */
  readonly tried: Set<FleetUpstream>;
  /** Requests sent, those that were not run included. */
  attempts: number;
  /** Whether an upstream may have begun to run it. */
  mayHaveRun: boolean;
}

/** Whether the request ran, as far as is known before any success. */
export function ranUntilNow({mayHaveRun}: FleetProgress): Ran {
  return mayHaveRun ? Ran.MAYBE : Ran.NO;
}

/** Time left in which a first byte must come, in milliseconds. */
export function patienceLeftMilliseconds({request}: FleetProgress): number {
  const {arrivedAtMilliseconds, deadlineAtMilliseconds, route} = request;
  const patienceEnd = arrivedAtMilliseconds + route.patienceMilliseconds;
  return Math.min(deadlineAtMilliseconds, patienceEnd) - performance.now();
}

/** Time left until the request's deadline, in milliseconds. */
export function remainingMilliseconds({request}: FleetProgress): number {
  return request.deadlineAtMilliseconds - performance.now();
}
