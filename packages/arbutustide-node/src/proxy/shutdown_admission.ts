import type {RefusalError} from '@arbutustide/errors';
import type {
  AnswerPeriod,
  RoutedRequest,
  RoutedRequestProgress,
} from '@arbutustide/routing';

import type {ShutdownTimes} from './proxy_settings.js';

import {createStoppingRefusal} from '@arbutustide/errors';
import {
  ENDLESS_ANSWER_PERIOD,
  ranSoFar,
  remainingForUpstream,
} from '@arbutustide/routing';

import {
  ANSWER_MARGIN_MILLISECONDS,
  MINIMUM_SERVICE_MILLISECONDS,
} from './proxy_tuning.js';

/** A decision on a request in a shutdown, to trace a later cut to it. */
export interface ShutdownDecision {
  readonly requestId: string;
  readonly route: string;
  readonly model?: string;
  readonly isTaken: boolean;
  /** Time that the request may take, at most until its deadline. */
  readonly expectedMilliseconds: number;
  /** Time until upstreams must have answered. */
  readonly leftMilliseconds: number;
}

/** Dependencies of the admission of requests in a shutdown. */
export interface ShutdownAdmissionOptions extends ShutdownTimes {
  /**
   * Time within which a request ends, with few exceptions, once it has a slot;
   * undefined if that is not yet known.
   */
  readonly longestMilliseconds: (request: RoutedRequest) => number | undefined;
  /** Called for a request that is refused before anything else counts it. */
  readonly recordRefused: (request: RoutedRequest) => void;
  readonly onDecision: (decision: ShutdownDecision) => void;
}

/**
 * Decides which requests a node still takes while it shuts down, and which of
 * those that wait for a slot go on waiting. One that it can no longer answer is
 * refused at once as not run: taken, it would be cut off at the end of the grace
 * period, and one that must run once would be lost.
 */
export class ShutdownAdmission implements AnswerPeriod {
  private beganAtMilliseconds: number | undefined;
  private readonly takenRequests = new WeakSet<RoutedRequest>();

  constructor(private readonly options: ShutdownAdmissionOptions) {}

  /** Begins the shutdown, as from a time by the monotonic clock. */
  begin(atMilliseconds = performance.now()): void {
    this.beganAtMilliseconds ??= atMilliseconds;
  }

  /** When upstreams must have answered at the latest, once it has begun. */
  get endsAtMilliseconds(): number {
    const {beganAtMilliseconds: beganAt = Infinity} = this;
    const {drainMilliseconds} = this.options;
    return beganAt + drainMilliseconds - ANSWER_MARGIN_MILLISECONDS;
  }

  /** Whether a request that got a slot now could still be answered. */
  get hasTimeLeft(): boolean {
    return this.leftMilliseconds > MINIMUM_SERVICE_MILLISECONDS;
  }

  /** The refusal of a request that arrives now; undefined if it is taken. */
  refuse(request: RoutedRequest): RefusalError | undefined {
    const {beganAtMilliseconds: beganAt} = this;
    if (beganAt === undefined) return undefined;
    const {balancerRemovalMilliseconds} = this.options;
    const isExpected =
      performance.now() < beganAt + balancerRemovalMilliseconds;
    const time = this.longestMilliseconds(request);
    if (this.decide(request, time, isExpected)) return undefined;
    this.options.recordRefused(request);
    return createStoppingRefusal();
  }

  /**
   * The refusal of a request that would get a slot after this wait; undefined if
   * it may wait. A stream that has begun may: refused or cut, its caller has to
   * resume it elsewhere.
   */
  refuseWaiting(
    progress: RoutedRequestProgress,
    waitMilliseconds = 0,
  ): RefusalError | undefined {
    if (this.beganAtMilliseconds === undefined) return undefined;
    const {request, hasStreamBegun} = progress;
    const time = hasStreamBegun
      ? MINIMUM_SERVICE_MILLISECONDS
      : this.longestMilliseconds(request, waitMilliseconds);
    return this.decide(request, time)
      ? undefined
      : createStoppingRefusal(ranSoFar(progress));
  }

  private get leftMilliseconds(): number {
    return this.endsAtMilliseconds - performance.now();
  }

  /** Time until the request has ended, at most until its latest deadline. */
  private longestMilliseconds(
    request: RoutedRequest,
    waitMilliseconds = 0,
  ): number {
    const longest = this.options.longestMilliseconds(request) ?? Infinity;
    const untilDeadline = remainingForUpstream(
      {request},
      ENDLESS_ANSWER_PERIOD,
    );
    return Math.min(untilDeadline, waitMilliseconds + longest);
  }

  /** Whether the request is taken; reports that once, or that it is not. */
  private decide(
    request: RoutedRequest,
    expectedMilliseconds: number,
    isExpected = true,
  ): boolean {
    const {leftMilliseconds, takenRequests} = this;
    const isTaken = isExpected && expectedMilliseconds <= leftMilliseconds;
    if (isTaken && takenRequests.has(request)) return true;
    if (isTaken) takenRequests.add(request);
    const {requestId, route, modelRequest} = request;
    this.options.onDecision({
      requestId,
      route: route.name,
      ...(modelRequest && {model: modelRequest.model}),
      isTaken,
      expectedMilliseconds: Math.round(expectedMilliseconds),
      leftMilliseconds: Math.round(leftMilliseconds),
    });
    return isTaken;
  }
}
