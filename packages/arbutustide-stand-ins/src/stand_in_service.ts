import type {ServiceReport} from '@arbutustide/upstream';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';

/** One call of a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A call that the service started to execute. */
export interface RecordedCall extends ServiceCall {
  /** When it started, on the monotonic clock. */
  readonly atMilliseconds: number;
}

/** Options of a stand-in for a plain service. */
export interface StandInServiceOptions {
  /** Duration of one call. */
  readonly callMilliseconds: number;
}

/** The answer of a plain service to one call. */
export interface ServiceAnswer {
  /** Number of the call among all that the service executed, from 1. */
  readonly run: number;
  readonly path: string;
  readonly body: string;
}

/**
 * A plain service whose calls are not idempotent. It records every execution,
 * so that a test can detect one that ran twice.
 */
export class StandInService {
  readonly calls: RecordedCall[] = [];
  isLeaving = false;
  private instanceId = randomUUID();
  private inFlight = 0;

  constructor(private readonly options: StandInServiceOptions) {}

  /** Executes a call; undefined if the service crashed meanwhile. */
  async handleCall(call: ServiceCall): Promise<ServiceAnswer | undefined> {
    const instanceIdAtStart = this.instanceId;
    this.calls.push({...call, atMilliseconds: performance.now()});
    const run = this.calls.length;
    this.inFlight += 1;
    await delay(this.options.callMilliseconds);
    this.inFlight -= 1;
    if (instanceIdAtStart !== this.instanceId) return undefined;
    return {run, path: call.path, body: call.body};
  }

  /** The report that nodes poll. */
  createReport(): ServiceReport {
    const {instanceId: serviceStart, inFlight, isLeaving} = this;
    return {serviceStart, inFlight, isLeaving};
  }

  /** Simulates a restart: calls in flight are lost. */
  crash(): void {
    this.instanceId = randomUUID();
  }
}
