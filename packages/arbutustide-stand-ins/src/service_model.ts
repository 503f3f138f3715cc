import type {ServiceReport} from '@arbutustide/upstream';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A call as the service ran it. */
export interface RecordedCall extends ServiceCall {
  /** When it began, by the monotonic clock. */
  readonly atMilliseconds: number;
}

/** What a plain service stand-in is like. */
export interface ServiceOptions {
  readonly callMilliseconds: number;
}

/** The answer of a plain service to one call. */
export interface ServiceAnswer {
  readonly run: number;
  readonly path: string;
  readonly body: string;
}

/** A plain service with calls that may not be repeated; records each run. */
export class ServiceModel {
  readonly calls: RecordedCall[] = [];
  isLeaving = false;
  private serviceStart = randomUUID();
  private inFlight = 0;

  constructor(private readonly options: ServiceOptions) {}

  /** Runs a call; undefined when the service went down in the middle. */
  async run(call: ServiceCall): Promise<ServiceAnswer | undefined> {
    const start = this.serviceStart;
    this.calls.push({...call, atMilliseconds: performance.now()});
    const run = this.calls.length;
    this.inFlight += 1;
    await delay(this.options.callMilliseconds);
    this.inFlight -= 1;
    if (start !== this.serviceStart) return undefined;
    return {run, path: call.path, body: call.body};
  }

  /** The service's report on itself. */
  report(): ServiceReport {
    const {serviceStart, inFlight, isLeaving} = this;
    return {serviceStart, inFlight, isLeaving};
  }

  /** Loses what is in flight, as a process that dies and starts again. */
  crash(): void {
    this.serviceStart = randomUUID();
  }
}
