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
  readonly cancellation: Cancellation;
  /** Upstreams the request was sent to. */
  readonly tried: Set<FleetUpstream>;
  /** Requests sent, those that were not run included. */
  attempts: number;
  /** Whether an upstream may have begun to run it. */
  mayHaveRun: boolean;
  /** When the caller last got a part of the answer; at first its arrival. */
  lastDeliveryAtMilliseconds: number;
}

/** Whether the request ran, as far as is known before any success. */
export function ranSoFar({mayHaveRun}: FleetProgress): Ran {
  return mayHaveRun ? Ran.MAYBE : Ran.NO;
}

/**
 * Part of the caller's patience in which a request may wait for a place. The
 * rest is for the answer, and lets a refusal reach a caller that still listens.
 */
const QUEUE_TIME_SHARE = 0.8;

/** Time left in which a place must come, in milliseconds. */
export function remainingQueueMilliseconds({
  request,
  lastDeliveryAtMilliseconds: heardAtMilliseconds,
}: FleetProgress): number {
  const {deadlineAtMilliseconds, route} = request;
  const patience = Math.min(
    deadlineAtMilliseconds - heardAtMilliseconds,
    route.patienceMilliseconds,
  );
  const end = heardAtMilliseconds + QUEUE_TIME_SHARE * patience;
  return end - performance.now();
}

/** Time left until the request's deadline, in milliseconds. */
export function remainingMilliseconds({request}: FleetProgress): number {
  return request.deadlineAtMilliseconds - performance.now();
}
