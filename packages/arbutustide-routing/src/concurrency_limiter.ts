import type {Cancellation} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import {ErrorKind, ExecutionStatus, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** What a request states when it asks for a slot. */
export interface AdmissionRequest {
  /** Requests with lower numbers are admitted first. */
  readonly priority: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller disconnects. */
  readonly disconnection: Cancellation;
}

/** A slot that is held by one request in flight. */
export interface Permit {
  /** Frees the slot for the next queued request; idempotent. */
  release(): void;
}

/**
 * Limits of a `ConcurrencyLimiter`. They are read at each use, because they
 * change with the number of replicas and the load of the other nodes.
 */
export interface ConcurrencyLimits {
  maximumInFlight(): number;
  maximumQueued(): number;
  /** Mean service time of one request, in milliseconds. */
  serviceMilliseconds(): number;
}

/** A queued request. */
interface Waiter {
  readonly request: AdmissionRequest;
  /** Stops the deadline timer and resolves the promise of `acquire`. */
  readonly settle: (result: Result<Permit, RefusalError>) => void;
}

/**
 * Limits the requests in flight and queues the others by priority, then by
 * deadline. A request that is predicted to miss its deadline is refused at
 * once, with the time after which to retry.
 */
export class ConcurrencyLimiter {
  private inFlightCount = 0;
  private readonly waiters: Waiter[] = [];

  constructor(private readonly limits: ConcurrencyLimits) {}

  get inFlight(): number {
    return this.inFlightCount;
  }

  get queued(): number {
    return this.waiters.length;
  }

  /**
   * Waits for a slot. Returns a refusal if the deadline cannot be met, the
   * queue is full of requests with precedence, or the caller disconnects.
   */
  async acquire(
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    if (this.waiters.length === 0 && this.hasFreeSlot()) {
      return Ok(this.takeSlot());
    }
    const waitMilliseconds = this.predictedWaitMilliseconds(request);
    if (!this.canMeetDeadline(request, waitMilliseconds)) {
      return Err(deadlineUnreachableRefusal(waitMilliseconds));
    }
    const refusal = this.ensureQueueCapacity(request, waitMilliseconds);
    if (refusal) return Err(refusal);
    return this.enqueue(request);
  }

  private hasFreeSlot(): boolean {
    return this.inFlightCount < this.limits.maximumInFlight();
  }

  private takeSlot(): Permit {
    this.inFlightCount += 1;
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.inFlightCount -= 1;
        this.admitWaiters();
      },
    };
  }

  private admitWaiters(): void {
    while (this.waiters.length > 0 && this.hasFreeSlot()) {
      const waiter = this.waiters.shift();
      waiter?.settle(Ok(this.takeSlot()));
    }
  }

  private predictedWaitMilliseconds(request: AdmissionRequest): number {
    const queuePosition = this.insertionIndex(request) + 1;
    const limit = Math.max(1, this.limits.maximumInFlight());
    return (queuePosition / limit) * this.limits.serviceMilliseconds();
  }

  private canMeetDeadline(
    request: AdmissionRequest,
    waitMilliseconds: number,
  ): boolean {
    const predictedEndMilliseconds =
      performance.now() + waitMilliseconds + this.limits.serviceMilliseconds();
    return predictedEndMilliseconds <= request.deadlineAtMilliseconds;
  }

  /**
   * Makes space in a full queue by refusing the last waiter. Returns the
   * refusal of this request if it does not have precedence over that waiter.
   */
  private ensureQueueCapacity(
    request: AdmissionRequest,
    waitMilliseconds: number,
  ): RefusalError | undefined {
    if (this.waiters.length < this.limits.maximumQueued()) return undefined;
    const last = this.waiters.at(-1);
    if (!last || !hasPrecedence(request, last.request))
      return queueFullRefusal(waitMilliseconds);
    this.waiters.pop();
    last.settle(Err(queueFullRefusal(waitMilliseconds)));
    return undefined;
  }

  private enqueue(
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    return new Promise(resolve => {
      let unsubscribe = () => {};
      const waiter: Waiter = {
        request,
        settle: result => {
          clearTimeout(timer);
          unsubscribe();
          resolve(result);
        },
      };
      const refuse = (refusal: RefusalError) => {
        const index = this.waiters.indexOf(waiter);
        if (index < 0) return;
        this.waiters.splice(index, 1);
        waiter.settle(Err(refusal));
      };
      const refuseDisconnected = () => refuse(callerGoneRefusal());
      const serviceMilliseconds = this.limits.serviceMilliseconds();
      const latestStartMilliseconds =
        request.deadlineAtMilliseconds - serviceMilliseconds;
      const timer = setTimeout(
        () => refuse(deadlineUnreachableRefusal(serviceMilliseconds)),
        Math.max(0, latestStartMilliseconds - performance.now()),
      );
      this.waiters.splice(this.insertionIndex(request), 0, waiter);
      unsubscribe = request.disconnection.onCancel(refuseDisconnected);
    });
  }

  /** Index in the queue at which the request would be inserted. */
  private insertionIndex(request: AdmissionRequest): number {
    let low = 0;
    let high = this.waiters.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (hasPrecedence(request, this.waiters[middle].request)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function hasPrecedence(
  left: AdmissionRequest,
  right: AdmissionRequest,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.deadlineAtMilliseconds < right.deadlineAtMilliseconds;
}

function deadlineUnreachableRefusal(waitMilliseconds: number): RefusalError {
  return new RefusalError(
    ErrorKind.DEADLINE_UNREACHABLE,
    'the request was not run: it cannot be answered before its deadline',
    {retryAfterMilliseconds: waitMilliseconds},
  );
}

function queueFullRefusal(waitMilliseconds: number): RefusalError {
  return new RefusalError(
    ErrorKind.QUEUE_FULL,
    'the request was not run: the queue is full',
    {retryAfterMilliseconds: waitMilliseconds},
  );
}

function callerGoneRefusal(): RefusalError {
  return new RefusalError(
    ErrorKind.CALLER_GONE,
    'the request was not run: its caller went away while it was queued',
    {ran: ExecutionStatus.NOT_EXECUTED},
  );
}
