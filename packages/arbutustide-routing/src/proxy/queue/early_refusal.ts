import type {QueuePosition, Standing} from './queue_position.js';
import type {Result} from 'ts-results';
import type {RoutedRequestProgress} from '../routed_request_progress.js';

import {Err, Ok} from 'ts-results';

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

/** What was expected of a queued request's wait. */
export interface Prospect {
  standing: Standing;
  /** Identifies the requests that share a correction. */
  key: string;
  /** Undefined if nothing was measured. */
  expectedMilliseconds: number | undefined;
  /** When it was expected. */
  sinceMilliseconds: number;
  nextCheckAtMilliseconds: number;
}

/** Assessing a queued request costs as much as choosing an upstream. */
const CHECK_MILLISECONDS = 500;

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
const QUEUED_EXCESS_FACTOR = 1.25;
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

  /**
   * Decides on a request that is about to be queued, or whose wait has only now
   * come to depend on slots that come free.
   *
   * @param waitedMilliseconds time since it was queued.
   * @return its prospect, or the retry-after in milliseconds.
   */
  beginWait(
    request: WaitingRequest,
    waitedMilliseconds = 0,
  ): Result<Prospect, number> {
    const prospect = this.createProspect(request);
    if (isCommitted(request, waitedMilliseconds)) return Ok(prospect);
    const wait = this.correctedWait(prospect);
    const available = availableMilliseconds(request);
    const key = refusalKey(request.progress);
    const readmissionWait = READMISSION_SHARE * available;
    const limit = this.isRefusing(key) ? readmissionWait : available;
    if (wait <= limit) return Ok(prospect);
    if (wait > available) this.refusedAtByKey.set(key, performance.now());
    return Err(this.jitter(wait - readmissionWait));
  }

  /**
   * Decides again on a queued request.
   *
   * @param waitedMilliseconds time since it was queued.
   * @return the retry-after in milliseconds; undefined if it may wait.
   */
  reassess(
    prospect: Prospect,
    request: WaitingRequest,
    waitedMilliseconds: number,
  ): number | undefined {
    prospect.nextCheckAtMilliseconds = performance.now() + CHECK_MILLISECONDS;
    const current = this.createProspect(request);
    if (current.standing !== prospect.standing) {
      this.endWait(prospect, false);
      Object.assign(prospect, current);
    }
    const available = availableMilliseconds(request);
    if (isCommitted(request, waitedMilliseconds)) return undefined;
    const wait = this.correctedWait(current);
    if (wait <= QUEUED_EXCESS_FACTOR * available) return undefined;
    return this.jitter(wait - READMISSION_SHARE * available);
  }

  /** Records that a queued request got a slot or gave up. */
  endWait(
    {key, expectedMilliseconds, sinceMilliseconds}: Prospect,
    hasSlot: boolean,
  ): void {
    // A predicted wait of 0 has no relative error to learn from.
    if (!expectedMilliseconds) return;
    const waited = performance.now() - sinceMilliseconds;
    this.correction.record(key, expectedMilliseconds, waited, hasSlot);
  }

  private createProspect({progress, position}: WaitingRequest): Prospect {
    const {standing} = position;
    const {request} = progress;
    const now = performance.now();
    return {
      standing,
      key: `${request.service} ${effectivePriority(request)} ${standing}`,
      expectedMilliseconds: this.options.expectedWaitMilliseconds(
        progress,
        position,
      ),
      sinceMilliseconds: now,
      nextCheckAtMilliseconds: now + CHECK_MILLISECONDS,
    };
  }

  /** Zero if nothing was measured: such requests may wait. */
  private correctedWait({key, expectedMilliseconds = 0}: Prospect): number {
    return expectedMilliseconds * this.correction.factorFor(key);
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

/** Time left in which the request must get its slot. */
function availableMilliseconds({
  progress,
  neededMilliseconds,
}: WaitingRequest): number {
  return remainingQueueMilliseconds(progress) - neededMilliseconds;
}

/** Whether a queued request has waited for too long to be refused early. */
function isCommitted(
  request: WaitingRequest,
  waitedMilliseconds: number,
): boolean {
  if (waitedMilliseconds <= 0) return false;
  const total = availableMilliseconds(request) + waitedMilliseconds;
  return waitedMilliseconds >= COMMITTED_SHARE * total;
}
