import type {Cancellation} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import {ErrorKind, Ran, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

/** A request that asks to be let in. */
export interface AdmissionRequest {
  /** Lower numbers go first. */
  readonly priority: number;
  /** By the monotonic clock, in milliseconds. */
  readonly deadlineAtMilliseconds: number;
  /** Cancelled when the caller goes away. */
  readonly presence: Cancellation;
}

/** The right to have one request in flight. */
export interface Permit {
  /** Gives the place to the next in the queue; repeated calls do nothing. */
  release(): void;
}

/** Limits of a gate; read at each use, since they follow the fleet. */
export interface GateLimits {
  inFlight(): number;
  queued(): number;
  /** Mean time of one request, in milliseconds. */
  serviceMilliseconds(): number;
}

interface Waiter {
  readonly request: AdmissionRequest;
  readonly decide: (result: Result<Permit, RefusalError>) => void;
}

/**
 * Lets a bounded number of requests run and queues the rest by priority and
 * deadline. A request that cannot be served in time is refused at once, with
 * the time to come back.
 */
export class AdmissionGate {
  private inFlightCount = 0;
  private readonly waiters: Waiter[] = [];

  constructor(private readonly limits: GateLimits) {}

  get inFlight(): number {
    return this.inFlightCount;
  }

  get queued(): number {
    return this.waiters.length;
  }

  /** Waits for a place, or tells why there will be none in time. */
  async enter(
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    if (this.waiters.length === 0 && this.hasPlace()) {
      return Ok(this.takePlace());
    }
    const wait = this.predictedWait(request);
    if (!this.canMeetDeadline(request, wait)) {
      return Err(deadlineRefusal(wait));
    }
    const refusal = this.makeRoom(request, wait);
    if (refusal) return Err(refusal);
    return this.queue(request);
  }

  private hasPlace(): boolean {
    return this.inFlightCount < this.limits.inFlight();
  }

  private takePlace(): Permit {
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
    while (this.waiters.length > 0 && this.hasPlace()) {
      const waiter = this.waiters.shift();
      waiter?.decide(Ok(this.takePlace()));
    }
  }

  private predictedWait(request: AdmissionRequest): number {
    const ahead = this.position(request) + 1;
    const limit = Math.max(1, this.limits.inFlight());
    return (ahead / limit) * this.limits.serviceMilliseconds();
  }

  private canMeetDeadline(request: AdmissionRequest, wait: number): boolean {
    const end = performance.now() + wait + this.limits.serviceMilliseconds();
    return end <= request.deadlineAtMilliseconds;
  }

  /** Refuses the last waiter, or this request when none comes after it. */
  private makeRoom(
    request: AdmissionRequest,
    wait: number,
  ): RefusalError | undefined {
    if (this.waiters.length < this.limits.queued()) return undefined;
    const last = this.waiters.at(-1);
    if (!last || !comesBefore(request, last.request)) return queueRefusal(wait);
    this.waiters.pop();
    last.decide(Err(queueRefusal(wait)));
    return undefined;
  }

  private queue(
    request: AdmissionRequest,
  ): Promise<Result<Permit, RefusalError>> {
    return new Promise(resolve => {
      let forget = () => {};
      const waiter: Waiter = {
        request,
        decide: result => {
          clearTimeout(timer);
          forget();
          resolve(result);
        },
      };
      const refuse = (refusal: RefusalError) => {
        const index = this.waiters.indexOf(waiter);
        if (index < 0) return;
        this.waiters.splice(index, 1);
        waiter.decide(Err(refusal));
      };
      const leave = () => refuse(goneRefusal());
      const service = this.limits.serviceMilliseconds();
      const latestStart = request.deadlineAtMilliseconds - service;
      const timer = setTimeout(
        () => refuse(deadlineRefusal(service)),
        Math.max(0, latestStart - performance.now()),
      );
      this.waiters.splice(this.position(request), 0, waiter);
      forget = request.presence.onCancel(leave);
    });
  }

  /** Number of waiters that go before the request. */
  private position(request: AdmissionRequest): number {
    let low = 0;
    let high = this.waiters.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (comesBefore(request, this.waiters[middle].request)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function comesBefore(left: AdmissionRequest, right: AdmissionRequest): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.deadlineAtMilliseconds < right.deadlineAtMilliseconds;
}

function deadlineRefusal(waitMilliseconds: number): RefusalError {
  return new RefusalError(
    ErrorKind.DEADLINE_UNREACHABLE,
    'the request was not run: it cannot be answered before its deadline',
    {retryAfterMilliseconds: waitMilliseconds},
  );
}

function queueRefusal(waitMilliseconds: number): RefusalError {
  return new RefusalError(
    ErrorKind.QUEUE_FULL,
    'the request was not run: the queue is full',
    {retryAfterMilliseconds: waitMilliseconds},
  );
}

function goneRefusal(): RefusalError {
  return new RefusalError(
    ErrorKind.CALLER_GONE,
    'the request was not run: its caller went away while it was queued',
    {ran: Ran.NO},
  );
}
