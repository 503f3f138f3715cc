import type {QueuePosition} from './queue_order.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {effectivePriority} from '../routed_request.js';
import {remainingQueueMilliseconds} from '../routed_request_progress.js';
import {WaitCorrection} from './wait_correction.js';

/** Predictions and randomness that early refusals are based on. */
export interface EarlyRefusalOptions {
  /**
   * Time until a request at this position gets a slot; undefined if nothing was
   * measured.
   */
  readonly expectedWaitMilliseconds: (
    progress: RoutedRequestProgress,
    position: QueuePosition,
  ) => number | undefined;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/** A request that found no free slot. */
export interface WaitingRequest {
  readonly progress: RoutedRequestProgress;
  /** Least time from getting a slot to the answer, in milliseconds. */
  readonly neededMilliseconds: number;
  /** Among the requests for the same model at this node. */
  readonly position: QueuePosition;
}

/**
 * Once a request was refused, others are admitted again when the expected wait
 * is below this share of their time. Callers honour a retry-after of a third of
 * their time at most: those refused first can return when it is reached.
 */
const READMISSION_SHARE = 0.75;
/** Spreads returning callers over this share of the retry-after. */
const RETRY_JITTER_SHARE = 0.25;
/** Refused callers that return sooner find the same queue. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
/**
 * A queued request is refused when its expected wait exceeds the time that it
 * has left by this factor: estimates vary, and it may still be served.
 */
const QUEUED_EXCESS_FACTOR = 2;
/**
 * A request that has waited for this share of its time stays until the end, as
 * its caller has no time for another attempt.
 */
const COMMITTED_SHARE = 0.5;
/** How long requests are refused by the lower limit without a refusal. */
const REFUSING_RETENTION_MILLISECONDS = 1_000;

/**
 * Refuses requests that would get their slot only after their callers' time, so
 * that the callers learn at once when there is room. Load: more requests than
 * the upstreams can serve, for some seconds or for good.
 */
export class EarlyRefusal {
  private readonly correction = new WaitCorrection();
  private readonly refusedAtByKey = new Map<string, number>();

  constructor(private readonly options: EarlyRefusalOptions) {}

  /** Expected wait; undefined if nothing was measured. */
  expectedWaitMilliseconds({
    progress,
    position,
  }: WaitingRequest): number | undefined {
    return this.options.expectedWaitMilliseconds(progress, position);
  }

  /**
   * Decides on a request that is about to be queued.
   *
   * @param expectedMilliseconds what `expectedWaitMilliseconds` returned.
   * @return the retry-after in milliseconds; undefined if it may wait.
   */
  refuseNewcomer(
    {progress, neededMilliseconds}: WaitingRequest,
    expectedMilliseconds: number,
  ): number | undefined {
    const key = refusalKey(progress);
    const wait = this.correctedWait(progress, expectedMilliseconds);
    const available = remainingQueueMilliseconds(progress) - neededMilliseconds;
    const readmissionWait = READMISSION_SHARE * available;
    const limit = this.isRefusing(key) ? readmissionWait : available;
    if (wait <= limit) return undefined;
    if (wait > available) this.refusedAtByKey.set(key, performance.now());
    return this.jitter(wait - readmissionWait);
  }

  /** Decides on a queued request in the same way. */
  refuseQueued(
    request: WaitingRequest,
    waitedMilliseconds: number,
  ): number | undefined {
    const {progress, neededMilliseconds} = request;
    const available = remainingQueueMilliseconds(progress) - neededMilliseconds;
    const committedAt = COMMITTED_SHARE * (available + waitedMilliseconds);
    if (waitedMilliseconds >= committedAt) return undefined;
    const expected = this.expectedWaitMilliseconds(request);
    if (expected === undefined) return undefined;
    const wait = this.correctedWait(progress, expected);
    if (wait <= QUEUED_EXCESS_FACTOR * available) return undefined;
    return this.jitter(wait - READMISSION_SHARE * available);
  }

  /**
   * Records how long a request that was queued has waited.
   *
   * @param hasSlot false if it gave up.
   */
  recordWait(
    progress: RoutedRequestProgress,
    expectedMilliseconds: number,
    waitedMilliseconds: number,
    hasSlot: boolean,
  ): void {
    this.correction.record(
      correctionKey(progress),
      expectedMilliseconds,
      waitedMilliseconds,
      hasSlot,
    );
  }

  private correctedWait(
    progress: RoutedRequestProgress,
    expectedMilliseconds: number,
  ): number {
    const factor = this.correction.factorFor(correctionKey(progress));
    return expectedMilliseconds * factor;
  }

  private isRefusing(key: string): boolean {
    const refusedAt = this.refusedAtByKey.get(key);
    if (refusedAt === undefined) return false;
    if (performance.now() - refusedAt <= REFUSING_RETENTION_MILLISECONDS)
      return true;
    this.refusedAtByKey.delete(key);
    return false;
  }

  private jitter(milliseconds: number): number {
    const spread = 1 + RETRY_JITTER_SHARE * this.options.random();
    return Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds) * spread;
  }
}

function refusalKey({request}: RoutedRequestProgress): string {
  const {service, modelRequest, route} = request;
  return `${service}/${modelRequest?.model ?? ''} ${route.name}`;
}

function correctionKey({request}: RoutedRequestProgress): string {
  return `${request.service} ${effectivePriority(request)}`;
}
