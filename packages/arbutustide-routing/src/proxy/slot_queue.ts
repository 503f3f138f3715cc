import type {PendingAdmission} from './brittleness/upstream_admission.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {QueuePosition} from './queue/queue_position.js';
import type {
  SlotQueueOptions,
  UpstreamSlot,
} from './queue/slot_queue_options.js';
import type {Blocked} from './queue/queue_order.js';
import type {BlockedRequests, SlotResult, Waiter} from './queue/waiter.js';
import type {Prospect, WaitingRequest} from './queue/early_refusal.js';
import type {RefusalError} from '@arbutustide/errors';

import {createStoppingRefusal, ErrorKind} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {isNoUpstreamReason, NoUpstreamReason} from './choose_upstream.js';
import {
  hasEarlierRequest,
  insertInOrder,
  insertionIndex,
  requirementKey,
  wantsSameSlot,
} from './queue/queue_order.js';
import {findPosition, Standing} from './queue/queue_position.js';
import {createNoSlotRefusal} from './queue/slot_refusals.js';
import {
  ranSoFar,
  remainingQueueMilliseconds,
} from './routed_request_progress.js';

/**
 * Queue of requests that wait for a slot at an upstream. It absorbs bursts and
 * lost upstreams. Requests queue here and not at the upstreams, because here a
 * refusal can still state that the request did not run.
 */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];
  private isScanScheduled = false;
  private isClosed = false;

  constructor(private readonly options: SlotQueueOptions) {}

  /** Waits for a slot; refuses at once if none is expected in time. */
  async acquireSlot(progress: RoutedRequestProgress): Promise<SlotResult> {
    const late = this.options.refuseLate?.(progress, 0);
    if (late) return Err(late);
    const {chooseUpstream: choose, observer, onNotHeld} = this.options;
    observer.recordQueued(progress.request);
    const choice = choose(progress);
    if (!isNoUpstreamReason(choice) && !this.hasEarlierWaiter(progress)) {
      this.options.order?.recordServed(progress, false);
      return Ok(this.takeSlot(progress, choice, performance.now()));
    }
    if (choice === NoUpstreamReason.NOT_HELD) onNotHeld(progress);
    const result = isNoUpstreamReason(choice)
      ? await this.enqueueOrRefuse(progress, choice)
      : await this.enqueueForScan(progress);
    if (!result.ok) {
      if (this.isForLackOfCapacity(progress, result.val))
        this.options.order?.recordRefused(progress);
      observer.recordEnded(progress.request, false);
    }
    return result;
  }

  /** Whether a request was refused because others were served instead. */
  private isForLackOfCapacity(
    {cancellation}: RoutedRequestProgress,
    {kind}: RefusalError,
  ): boolean {
    if (this.isClosed || cancellation.isCancelled) return false;
    return kind === ErrorKind.DEADLINE_UNREACHABLE;
  }

  /** Takes a slot now, ahead of queued requests; undefined if none has room. */
  tryTakeSlot(progress: RoutedRequestProgress): UpstreamSlot | undefined {
    const {chooseUpstream} = this.options;
    const free = chooseUpstream(progress);
    const choice = isNoUpstreamReason(free)
      ? chooseUpstream(progress, {isUrgent: true})
      : free;
    if (isNoUpstreamReason(choice)) return undefined;
    return this.takeSlotAt(progress, choice);
  }

  /**
   * Takes a slot now at one of the candidates, whether the request was sent to it
   * before or not; undefined if none of them has room.
   */
  tryTakeSlotAmong(
    progress: RoutedRequestProgress,
    isCandidate: (upstream: ProxyUpstream) => boolean,
  ): UpstreamSlot | undefined {
    const choice = this.options.chooseUpstream(progress, {
      isUrgent: true,
      isCandidate,
    });
    return isNoUpstreamReason(choice)
      ? undefined
      : this.takeSlotAt(progress, choice);
  }

  /** Takes a slot at an upstream, whether one is free or not. */
  takeSlotAt(
    progress: RoutedRequestProgress,
    upstream: ProxyUpstream,
  ): UpstreamSlot {
    this.options.observer.recordQueued(progress.request);
    return this.takeSlot(progress, upstream, performance.now());
  }

  /** Whether this node has no path to any upstream that could take it. */
  isUnreachable(progress: RoutedRequestProgress): boolean {
    const choice = this.options.chooseUpstream(progress);
    return choice === NoUpstreamReason.UNREACHABLE;
  }

  /** Whether an upstream could take the request now. */
  hasFreeSlot(progress: RoutedRequestProgress): boolean {
    return !isNoUpstreamReason(this.options.chooseUpstream(progress));
  }

  /**
   * Refuses all queued requests, and from now on each request that gets no slot
   * at once. Called before this node stops, while refusals can still be sent.
   */
  close(): void {
    this.isClosed = true;
    for (const waiter of this.waiters.splice(0)) {
      waiter.settle(Err(createStoppingRefusal(ranSoFar(waiter.progress))));
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
   * Gives free slots to the queued requests in order. Of those with the same
   * requirements only the first looks for a slot. Retries look themselves, as
   * they exclude the tried upstreams.
   */
  private scanWaiters(): void {
    const blocked = new Map<string, BlockedRequests>();
    const arranged = this.arrange();
    for (const waiter of arranged) {
      const {progress} = waiter;
      const requirement = requirementKey(progress);
      const before = blocked.get(requirement);
      const isRetry = progress.triedUpstreams.size > 0;
      const isFirst = !before || isRetry;
      const choice = isFirst
        ? this.options.chooseUpstream(progress)
        : before.reason;
      if (!isNoUpstreamReason(choice)) {
        this.giveSlot(waiter, choice);
        continue;
      }
      waiter.reason = choice;
      if (isFirst && choice === NoUpstreamReason.NOT_HELD)
        this.options.onNotHeld(progress);
      const refused =
        (isFirst
          ? this.refuseIfHopeless(progress, choice, before?.count ?? 0)
          : undefined) ?? this.reassess(waiter, choice, arranged);
      if (refused) {
        this.removeWaiter(waiter);
        waiter.settle(Err(refused));
        continue;
      }
      if (before) before.count += 1;
      else if (!isRetry) blocked.set(requirement, {count: 1, reason: choice});
    }
    if (this.waiters.length === 0) this.options.order?.recordEmpty();
  }

  private giveSlot(waiter: Waiter, upstream: ProxyUpstream): void {
    const {progress, queuedAtMilliseconds} = waiter;
    this.removeWaiter(waiter);
    this.options.order?.recordServed(progress, true);
    waiter.settle(Ok(this.takeSlot(progress, upstream, queuedAtMilliseconds)));
  }

  /** A copy of the queued requests in the order of service. */
  private arrange(): readonly Waiter[] {
    const arranged = this.options.order?.arrange(this.waiters) ?? this.waiters;
    return arranged === this.waiters ? [...arranged] : arranged;
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
    if (this.isClosed) return createStoppingRefusal(ranSoFar(progress));
    const total = (wait ?? Infinity) + needed;
    if (total <= remainingQueueMilliseconds(progress))
      return this.options.refuseLate?.(progress, wait ?? 0);
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
      return this.enqueue(progress, reason);
    const prospect = earlyRefusal.beginWait(this.describe(progress, position));
    if (!prospect.ok)
      return Err(createNoSlotRefusal(progress, reason, prospect.val));
    const {expectedMilliseconds = 0} = prospect.val;
    const late = this.options.refuseLate?.(progress, expectedMilliseconds);
    return late ? Err(late) : this.enqueue(progress, reason, prospect.val);
  }

  /** Queues a request behind others for the slot that it could take. */
  private enqueueForScan(progress: RoutedRequestProgress): Promise<SlotResult> {
    const result = this.enqueue(progress, NoUpstreamReason.FULL);
    this.scheduleScan();
    return result;
  }

  /** The refusal of a queued request that has no prospect of a slot, if so. */
  private reassess(
    waiter: Waiter,
    reason: NoUpstreamReason,
    arranged: readonly Waiter[],
  ): RefusalError | undefined {
    const {earlyRefusal} = this.options;
    if (!earlyRefusal || reason !== NoUpstreamReason.FULL) return undefined;
    const {progress, prospect, queuedAtMilliseconds} = waiter;
    const now = performance.now();
    if (prospect && now < prospect.nextCheckAtMilliseconds) return undefined;
    const left = arranged.filter(({isQueued}) => isQueued);
    const position = this.findPosition(progress, left);
    const waiting = this.describe(progress, position);
    const waited = now - queuedAtMilliseconds;
    if (prospect) {
      const retryAfter = earlyRefusal.reassess(prospect, waiting, waited);
      return retryAfter === undefined
        ? undefined
        : createNoSlotRefusal(progress, reason, retryAfter);
    }
    const begun = earlyRefusal.beginWait(waiting, waited);
    if (begun.err) return createNoSlotRefusal(progress, reason, begun.val);
    waiter.prospect = begun.val;
    return undefined;
  }

  private describe(
    progress: RoutedRequestProgress,
    position: QueuePosition,
  ): WaitingRequest {
    const neededMilliseconds =
      this.options.minimumServiceMilliseconds(progress);
    return {progress, position, neededMilliseconds};
  }

  /** Position of a request that is queued, or that would be. */
  private findPosition(
    progress: RoutedRequestProgress,
    arranged = this.arrangeWith(progress),
  ): QueuePosition {
    const standing = this.options.order?.standingOf(progress);
    return findPosition(progress, arranged, standing ?? Standing.USUAL);
  }

  private arrangeWith(progress: RoutedRequestProgress): readonly Blocked[] {
    const queued = insertInOrder<Blocked>(this.waiters, {progress});
    return this.options.order?.arrange(queued) ?? queued;
  }

  /** Whether a queued request that wants the same slot is served before. */
  private hasEarlierWaiter(progress: RoutedRequestProgress): boolean {
    if (!this.waiters.some(waiter => wantsSameSlot(waiter, progress)))
      return false;
    return hasEarlierRequest(this.arrangeWith(progress), progress);
  }

  private enqueue(
    progress: RoutedRequestProgress,
    reason: NoUpstreamReason,
    prospect?: Prospect,
  ): Promise<SlotResult> {
    return new Promise(resolve => {
      let removeCancelListener = () => {};
      const waiter: Waiter = {
        progress,
        queuedAtMilliseconds: performance.now(),
        prospect,
        isQueued: true,
        reason,
        settle: result => {
          clearTimeout(timer);
          if (waiter.prospect)
            this.options.earlyRefusal?.endWait(waiter.prospect, result.ok);
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
      this.waiters.splice(insertionIndex(this.waiters, progress), 0, waiter);
      removeCancelListener = progress.cancellation.onCancel(refuse);
    });
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
      release: (isWhole = false) => {
        if (!isReserved) return;
        isReserved = false;
        pending.settle(false);
        upstream.ownInFlight -= 1;
        upstream.reachability.recordAttemptEnded();
        observer.recordEnded(request, true);
        const heldMilliseconds = performance.now() - takenAtMilliseconds;
        if (isAccepted)
          onSlotReturned?.(request, heldMilliseconds, upstream, isWhole);
        this.scheduleScan();
      },
    };
  }

  private removeWaiter(waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return false;
    this.waiters.splice(index, 1);
    waiter.isQueued = false;
    return true;
  }
}
