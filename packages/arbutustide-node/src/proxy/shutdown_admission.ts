import type {RefusalError} from '@arbutustide/errors';
import type {RoutedRequest} from '@arbutustide/routing';

import type {ShutdownTimes} from './proxy_settings.js';

import {createStoppingRefusal} from '@arbutustide/errors';

/** A decision on a request in a shutdown, to trace a later cut to it. */
export interface ShutdownDecision {
  readonly requestId: string;
  readonly route: string;
  readonly model?: string;
  readonly isTaken: boolean;
  /** Time that the request may take, at most until its deadline. */
  readonly expectedMilliseconds: number;
  /** Time until this node answers no more. */
  readonly leftMilliseconds: number;
}

/** Dependencies of the admission of requests in a shutdown. */
export interface ShutdownAdmissionOptions extends ShutdownTimes {
  /**
   * Time within which a request ends, with few exceptions, once it has a slot;
   * undefined if that is not yet known.
   */
  readonly longestMilliseconds: (request: RoutedRequest) => number | undefined;
  readonly onDecision: (decision: ShutdownDecision) => void;
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
  refuse(request: RoutedRequest): RefusalError | undefined {
    const {beganAtMilliseconds: beganAt} = this;
    if (beganAt === undefined) return undefined;
    const {balancerRemovalMilliseconds, drainMilliseconds} = this.options;
    const now = performance.now();
    const isExpected = now < beganAt + balancerRemovalMilliseconds;
    const leftMilliseconds = beganAt + drainMilliseconds - now;
    const expectedMilliseconds = this.longestMilliseconds(request, now);
    const isTaken = isExpected && expectedMilliseconds <= leftMilliseconds;
    this.recordDecision(
      request,
      isTaken,
      expectedMilliseconds,
      leftMilliseconds,
    );
    return isTaken ? undefined : createStoppingRefusal();
  }

  /** Time that the request may take, at most until its deadline. */
  private longestMilliseconds(request: RoutedRequest, now: number): number {
    const longest = this.options.longestMilliseconds(request) ?? Infinity;
    return Math.min(request.deadlineAtMilliseconds - now, longest);
  }

  private recordDecision(
    {requestId, route, modelRequest}: RoutedRequest,
    isTaken: boolean,
    expectedMilliseconds: number,
    leftMilliseconds: number,
  ): void {
    this.options.onDecision({
      requestId,
      route: route.name,
      ...(modelRequest && {model: modelRequest.model}),
      isTaken,
      expectedMilliseconds: Math.round(expectedMilliseconds),
      leftMilliseconds: Math.round(leftMilliseconds),
    });
  }
}
