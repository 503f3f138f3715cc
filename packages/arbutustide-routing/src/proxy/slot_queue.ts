import type {Result} from 'ts-results';

import type {PendingAdmission} from './brittleness/upstream_admission.js';
import type {UpstreamChoice} from './choose_upstream.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {QueuePosition} from './queue/queue_order.js';
import type {EarlyRefusal, WaitingRequest} from './queue/early_refusal.js';
import type {RoutedRequest} from './routed_request.js';
import type {RefusalError} from '@arbutustide/errors';

import {Err, Ok} from 'ts-results';

import {NoUpstreamReason} from './choose_upstream.js';
import {findPosition, precedes, requirementKey} from './queue/queue_order.js';
import {
  createNoSlotRefusal,
  createStoppingRefusal,
} from './queue/slot_refusals.js';
import {remainingQueueMilliseconds} from './routed_request_progress.js';

/** Notified of each request's state in the queue. */
export interface SlotQueueObserver {
  recordQueued(request: RoutedRequest): void;
  recordSlotTaken(request: RoutedRequest): void;
  recordEnded(request: RoutedRequest, hadSlot: boolean): void;
}

/** Policies and callbacks of a slot queue. */
export interface SlotQueueOptions {
  /** Chooses among the upstreams as they are now. */
  readonly chooseUpstream: (progress: RoutedRequestProgress) => UpstreamChoice;
  /**
   * Predicted time until a slot is free, in milliseconds; undefined if none is
   * expected. `ahead` is the number of requests that are served before.
   */
  readonly predictWaitMilliseconds: (
    progress: RoutedRequestProgress,
    reason: NoUpstreamReason,
    ahead: number,
  ) => number | undefined;
  /** Least time from getting a slot to the answer, in milliseconds. */
  readonly minimumServiceMilliseconds: (
    progress: RoutedRequestProgress,
  ) => number;
  /** Called when no upstream holds the model or adapter of a request. */
  readonly onNotHeld: (progress: RoutedRequestProgress) => void;
  readonly observer: SlotQueueObserver;
  /** Undefined to let requests wait for as long as their callers do. */
  readonly earlyRefusal?: EarlyRefusal;
  /** Called when a request that an upstream accepted returns its slot. */
  readonly onSlotReturned?: (
    request: RoutedRequest,
    heldMilliseconds: number,
  ) => void;
}

/** A reserved slot: permits one request in flight at an upstream. */
export interface UpstreamSlot {
  readonly upstream: ProxyUpstream;
  readonly admission: PendingAdmission;
  /** Time that the request was queued, in milliseconds. */
  readonly waitedMilliseconds: number;
  /** Returns the slot; idempotent. */
  release(): void;
}

/** Assessing a queued request costs as much as choosing an upstream. */
const QUEUED_CHECK_MILLISECONDS = 500;

type SlotResult = Result<UpstreamSlot, RefusalError>;

interface Waiter {
  readonly progress: RoutedRequestProgress;
  readonly queuedAtMilliseconds: number;
  /** Wait expected when it was queued; undefined if nothing was measured. */
  readonly expectedMilliseconds: number | undefined;
  /** When its prospect of a slot is next assessed. */
  nextCheckAtMilliseconds: number;
  readonly settle: (result: SlotResult) => void;
}

/**
 * Queue of requests that wait for a slot at an upstream, ordered by priority and
 * then deadline. It absorbs bursts and lost upstreams. Requests queue here and
 * not at the upstreams, because here a refusal can still state that the request
 * did not run.
 */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];
  private isScanScheduled = false;
  private isClosed = false;

  constructor(private readonly options: SlotQueueOptions) {}

  /** Waits for a slot; refuses at once if none is expected in time. */
  async acquireSlot(progress: RoutedRequestProgress): Promise<SlotResult> {
    const {chooseUpstream: choose, observer, onNotHeld} = this.options;
    observer.recordQueued(progress.request);
    const choice = choose(progress);
    if (!isNoUpstreamReason(choice)) {
      return Ok(this.takeSlot(progress, choice, performance.now()));
    }
    if (choice === NoUpstreamReason.NOT_HELD) onNotHeld(progress);
    const result = await this.enqueueOrRefuse(progress, choice);
    if (!result.ok) observer.recordEnded(progress.request, false);
    return result;
  }

  /** Whether this node has no path to any upstream that could take it. */
  isUnreachable(progress: RoutedRequestProgress): boolean {
    return (
      this.options.chooseUpstream(progress) === NoUpstreamReason.UNREACHABLE
    );
  }

  /** Whether an upstream could take the request now. */
  hasFreeSlot(progress: RoutedRequestProgress): boolean {
    return !isNoUpstreamReason(this.options.chooseUpstream(progress));
  }

  /**
   * Refuses all queued requests, and from now on each request that gets no slot
   * at once. Called before this node stops, while refusals can still be sent
   * and callers have time to retry at another node.
   */
  close(): void {
    this.isClosed = true;
    for (const waiter of this.waiters.splice(0)) {
      waiter.settle(Err(createStoppingRefusal(waiter.progress)));
    }
  }

  /** Refuses the queued requests that the function has a refusal for. */
  refuseQueued(
    refusalOf: (progress: RoutedRequestProgress) => RefusalError | undefined,
  ): void {
    for (const waiter of [...this.waiters]) {
      const refusal = refusalOf(waiter.progress);
      if (!refusal) continue;
      this.removeWaiter(waiter);
      waiter.settle(Err(refusal));
    }
  }

  /** Schedules one scan of the queue after this turn of the event loop. */
  scheduleScan(): void {
    if (this.isScanScheduled || this.waiters.length === 0) return;
    this.isScanScheduled = true;
    setImmediate(() => {
      this.isScanScheduled = false;
      this.scanWaiters();
    });
  }

  /**
   * Gives free slots to the queued requests in order. Of the requests with the
   * same requirements only the first looks for a slot; those behind it count
   * as waiting. Retries look themselves, as they exclude the tried upstreams.
   */
  private scanWaiters(): void {
    const waiting = new Map<string, number>();
    for (const waiter of [...this.waiters]) {
      const {progress, queuedAtMilliseconds} = waiter;
      const requirement = requirementKey(progress);
      const ahead = waiting.get(requirement) ?? 0;
      const isFirst = ahead === 0 || progress.triedUpstreams.size > 0;
      const choice = isFirst
        ? this.options.chooseUpstream(progress)
        : NoUpstreamReason.FULL;
      if (!isNoUpstreamReason(choice)) {
        this.removeWaiter(waiter);
        waiter.settle(
          Ok(this.takeSlot(progress, choice, queuedAtMilliseconds)),
        );
        continue;
      }
      if (choice === NoUpstreamReason.NOT_HELD)
        this.options.onNotHeld(progress);
      waiting.set(requirement, ahead + 1);
      const refused = isFirst && this.refuseWaiter(waiter, choice, ahead);
      if (!refused) continue;
      this.removeWaiter(waiter);
      waiter.settle(Err(refused));
      waiting.set(requirement, ahead);
    }
  }

  /**
   * The refusal of a request that no upstream can be reached for, or that would
   * get its slot too late, if so.
   */
  private refuseIfHopeless(
    progress: RoutedRequestProgress,
    reason: NoUpstreamReason,
    ahead: number,
  ): RefusalError | undefined {
    if (reason === NoUpstreamReason.UNREACHABLE)
      return createNoSlotRefusal(progress, reason, undefined);
    const wait = this.options.predictWaitMilliseconds(progress, reason, ahead);
    const needed = this.options.minimumServiceMilliseconds(progress);
    if (this.isClosed) return createStoppingRefusal(progress);
    const total = (wait ?? Infinity) + needed;
    if (total <= remainingQueueMilliseconds(progress)) return undefined;
    return createNoSlotRefusal(progress, reason, wait);
  }

  private async enqueueOrRefuse(
    progress: RoutedRequestProgress,
    reason: NoUpstreamReason,
  ): Promise<SlotResult> {
    const position = this.findPosition(progress);
    const refused = this.refuseIfHopeless(progress, reason, position.ahead);
    if (refused) return Err(refused);
    const {earlyRefusal} = this.options;
    if (!earlyRefusal || reason !== NoUpstreamReason.FULL)
      return this.enqueue(progress, reason, undefined);
    const waiting = this.describe(progress, position);
    const expected = earlyRefusal.expectedWaitMilliseconds(waiting);
    const retryAfter =
      expected && earlyRefusal.refuseNewcomer(waiting, expected);
    if (retryAfter)
      return Err(createNoSlotRefusal(progress, reason, retryAfter));
    return this.enqueue(progress, reason, expected);
  }

  /** The refusal of a queued request that has no prospect of a slot, if so. */
  private refuseWaiter(
    waiter: Waiter,
    reason: NoUpstreamReason,
    ahead: number,
  ): RefusalError | undefined {
    const {progress, queuedAtMilliseconds} = waiter;
    const refused = this.refuseIfHopeless(progress, reason, ahead);
    const now = performance.now();
    if (refused || reason !== NoUpstreamReason.FULL) return refused;
    if (now < waiter.nextCheckAtMilliseconds) return undefined;
    waiter.nextCheckAtMilliseconds = now + QUEUED_CHECK_MILLISECONDS;
    const retryAfter = this.options.earlyRefusal?.refuseQueued(
      this.describe(progress, this.findPosition(progress)),
      now - queuedAtMilliseconds,
    );
    return retryAfter === undefined
      ? undefined
      : createNoSlotRefusal(progress, reason, retryAfter);
  }

  private describe(
    progress: RoutedRequestProgress,
    position: QueuePosition,
  ): WaitingRequest {
    const needed = this.options.minimumServiceMilliseconds(progress);
    return {progress, position, neededMilliseconds: needed};
  }

  private findPosition(progress: RoutedRequestProgress): QueuePosition {
    return findPosition(progress, this.waiters, this.insertionIndex(progress));
  }

  private enqueue(
    progress: RoutedRequestProgress,
    reason: NoUpstreamReason,
    expectedMilliseconds: number | undefined,
  ): Promise<SlotResult> {
    return new Promise(resolve => {
      let removeCancelListener = () => {};
      const waiter: Waiter = {
        progress,
        queuedAtMilliseconds: performance.now(),
        expectedMilliseconds,
        nextCheckAtMilliseconds: performance.now() + QUEUED_CHECK_MILLISECONDS,
        settle: result => {
          clearTimeout(timer);
          this.recordWait(waiter, result.ok);
          removeCancelListener();
          resolve(result);
        },
      };
      const refuse = () => {
        if (!this.removeWaiter(waiter)) return;
        waiter.settle(Err(createNoSlotRefusal(progress, reason, undefined)));
      };
      const needed = this.options.minimumServiceMilliseconds(progress);
      const timer = setTimeout(
        refuse,
        Math.max(0, remainingQueueMilliseconds(progress) - needed),
      );
      this.waiters.splice(this.insertionIndex(progress), 0, waiter);
      removeCancelListener = progress.cancellation.onCancel(refuse);
    });
  }

  private recordWait(
    {progress, queuedAtMilliseconds, expectedMilliseconds}: Waiter,
    hasSlot: boolean,
  ): void {
    if (expectedMilliseconds === undefined) return;
    this.options.earlyRefusal?.recordWait(
      progress,
      expectedMilliseconds,
      performance.now() - queuedAtMilliseconds,
      hasSlot,
    );
  }

  private takeSlot(
    {request}: RoutedRequestProgress,
    upstream: ProxyUpstream,
    queuedAtMilliseconds: number,
  ): UpstreamSlot {
    const {observer, onSlotReturned} = this.options;
    const takenAtMilliseconds = performance.now();
    let isAccepted = false;
    upstream.ownInFlight += 1;
    upstream.reachability.recordAttemptBegun();
    upstream.rateLimit.takeToken();
    const pending = upstream.admission.begin();
    const admission: PendingAdmission = {
      settle: isRejected => {
        pending.settle(isRejected);
        isAccepted = !isRejected;
        this.scheduleScan();
      },
    };
    observer.recordSlotTaken(request);
    let isReserved = true;
    return {
      upstream,
      admission,
      waitedMilliseconds: takenAtMilliseconds - queuedAtMilliseconds,
      release: () => {
        if (!isReserved) return;
        isReserved = false;
        pending.settle(false);
        upstream.ownInFlight -= 1;
        upstream.reachability.recordAttemptEnded();
        observer.recordEnded(request, true);
        if (isAccepted)
          onSlotReturned?.(request, performance.now() - takenAtMilliseconds);
        this.scheduleScan();
      },
    };
  }

  private removeWaiter(waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return false;
    this.waiters.splice(index, 1);
    return true;
  }

  /** Number of queued requests that are served before this one. */
  private insertionIndex(progress: RoutedRequestProgress): number {
    let low = 0;
    let high = this.waiters.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (precedes(progress, this.waiters[middle].progress)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function isNoUpstreamReason(
  choice: UpstreamChoice,
): choice is NoUpstreamReason {
  return typeof choice === 'string';
}
