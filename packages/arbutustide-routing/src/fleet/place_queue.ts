import type {Result} from 'ts-results';

import type {FleetChoice} from './fleet_choice.js';
import type {FleetProgress} from './fleet_progress.js';
import type {FleetUpstream} from './fleet_upstream.js';
import type {RoutedRequest} from './routed_request.js';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {NoChoice} from './fleet_choice.js';
import {ranSoFar, remainingQueueMilliseconds} from './fleet_progress.js';

/** Told of each request's way through the queue. */
export interface SlotQueueObserver {
  recordQueued(request: RoutedRequest): void;
  recordSlotTaken(request: RoutedRequest): void;
  recordEnded(request: RoutedRequest, wasPlaced: boolean): void;
}

/** What the queue asks of its surroundings. */
export interface PlaceQueueOptions {
  /** Chooses among the upstreams at this moment. */
  readonly choose: (progress: FleetProgress) => FleetChoice;
  /**
   * Predicted time until a place is free, in milliseconds; undefined when no
   * place will come.
   */
  readonly predictWait: (
    progress: FleetProgress,
    reason: NoChoice,
    ahead: number,
  ) => number | undefined;
  /** Time one request needs at least once it has a place. */
  readonly serviceMilliseconds: (progress: FleetProgress) => number;
  /** Called when no upstream holds what the request needs. */
  readonly onNotHeld: (progress: FleetProgress) => void;
  readonly observer: SlotQueueObserver;
}

/** The right to have one request at an upstream. */
export interface Place {
  readonly upstream: FleetUpstream;
  /** Time waited for it, in milliseconds. */
  readonly waitedMilliseconds: number;
  /** Gives it back; repeated calls do nothing. */
  release(): void;
}

type SlotResult = Result<Place, RefusalError>;

interface Waiter {
  readonly progress: FleetProgress;
  readonly sinceMilliseconds: number;
  readonly settle: (result: SlotResult) => void;
}

/** Time to come back where nothing is known that would end the wait. */
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Requests that wait for a place at an upstream, by priority and deadline. It
 * answers bursts and lost upstreams: the queue is kept here, where a request
 * can still be refused truthfully, and not at the upstreams.
 */
export class PlaceQueue {
  private readonly waiters: Waiter[] = [];
  private isScanScheduled = false;
  private isClosed = false;

  constructor(private readonly options: PlaceQueueOptions) {}

  /** Waits for a place, or tells at once why there will be none in time. */
  async acquireSlot(progress: FleetProgress): Promise<SlotResult> {
    const {choose, observer, onNotHeld} = this.options;
    observer.recordQueued(progress.request);
    const choice = choose(progress);
    if (!isNoUpstreamReason(choice)) {
      return Ok(this.takeSlot(progress, choice, performance.now()));
    }
    if (choice === NoChoice.NOT_HELD) onNotHeld(progress);
    const refused = this.refuseIfLate(
      progress,
      choice,
      this.insertionIndex(progress),
    );
    const result = refused ? Err(refused) : await this.wait(progress, choice);
    if (!result.ok) observer.recordEnded(progress.request, false);
    return result;
  }

  /** Whether the request would be given a place at this moment. */
  hasFreeSlot(progress: FleetProgress): boolean {
    return !isNoUpstreamReason(this.options.choose(progress));
  }

  /**
   * Refuses all that wait, and from now on what finds no place at once. It is
   * called before this node stops, while there is time to answer and for
   * callers to go elsewhere.
   */
  close(): void {
    this.isClosed = true;
    for (const waiter of this.waiters.splice(0)) {
      waiter.settle(Err(createStoppingRefusal(waiter.progress)));
    }
  }

  /** Looks for places anew, once after all changes of this turn. */
  wake(): void {
    if (this.isScanScheduled || this.waiters.length === 0) return;
    this.isScanScheduled = true;
    setImmediate(() => {
      this.isScanScheduled = false;
      this.scanWaiters();
    });
  }

  private scanWaiters(): void {
    const waiting = new Map<string, number>();
    for (const waiter of [...this.waiters]) {
      const {progress, sinceMilliseconds} = waiter;
      const wanted = requirementKey(progress.request);
      const ahead = waiting.get(wanted) ?? 0;
      const isFirst = ahead === 0 || progress.tried.size > 0;
      const choice = isFirst ? this.options.choose(progress) : NoChoice.FULL;
      if (!isNoUpstreamReason(choice)) {
        this.removeWaiter(waiter);
        waiter.settle(Ok(this.takeSlot(progress, choice, sinceMilliseconds)));
        continue;
      }
      if (choice === NoChoice.NOT_HELD) this.options.onNotHeld(progress);
      waiting.set(wanted, ahead + 1);
      const refused = isFirst && this.refuseIfLate(progress, choice, ahead);
      if (!refused) continue;
      this.removeWaiter(waiter);
      waiter.settle(Err(refused));
      waiting.set(wanted, ahead);
    }
  }

  /** The refusal of a request for which a place would come too late. */
  private refuseIfLate(
    progress: FleetProgress,
    reason: NoChoice,
    ahead: number,
  ): RefusalError | undefined {
    const enqueue = this.options.predictWait(progress, reason, ahead);
    const needed = this.options.serviceMilliseconds(progress);
    if (this.isClosed) return createStoppingRefusal(progress);
    const total = (enqueue ?? Infinity) + needed;
    if (total <= remainingQueueMilliseconds(progress)) return undefined;
    return createNoSlotRefusal(progress, reason, enqueue);
  }

  private wait(progress: FleetProgress, reason: NoChoice): Promise<SlotResult> {
    return new Promise(resolve => {
      let forget = () => {};
      const waiter: Waiter = {
        progress,
        sinceMilliseconds: performance.now(),
        settle: result => {
          clearTimeout(timer);
          forget();
          resolve(result);
        },
      };
      const giveUp = () => {
        if (!this.removeWaiter(waiter)) return;
        waiter.settle(Err(createNoSlotRefusal(progress, reason, undefined)));
      };
      const needed = this.options.serviceMilliseconds(progress);
      const timer = setTimeout(
        giveUp,
        Math.max(0, remainingQueueMilliseconds(progress) - needed),
      );
      this.waiters.splice(this.insertionIndex(progress), 0, waiter);
      forget = progress.cancellation.onCancel(giveUp);
    });
  }

  private takeSlot(
    {request}: FleetProgress,
    upstream: FleetUpstream,
    sinceMilliseconds: number,
  ): Place {
    const {observer} = this.options;
    upstream.ownInFlight += 1;
    observer.recordSlotTaken(request);
    let isHeld = true;
    return {
      upstream,
      waitedMilliseconds: performance.now() - sinceMilliseconds,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        upstream.ownInFlight -= 1;
        observer.recordEnded(request, true);
        this.wake();
      },
    };
  }

  private removeWaiter(waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return false;
    this.waiters.splice(index, 1);
    return true;
  }

  /** Number of waiters that go before the request. */
  private insertionIndex(progress: FleetProgress): number {
    let low = 0;
    let high = this.waiters.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (comesBefore(progress, this.waiters[middle].progress)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function isNoUpstreamReason(choice: FleetChoice): choice is NoChoice {
  return typeof choice === 'string';
}

/** What a request waits for; requests that wait for the same are alike. */
function requirementKey({service, modelRequest}: RoutedRequest): string {
  if (!modelRequest) return service;
  const {model, adapter = ''} = modelRequest;
  return `${service}/${model}/${adapter}`;
}

function comesBefore(left: FleetProgress, right: FleetProgress): boolean {
  const {route: leftRoute} = left.request;
  const {route: rightRoute} = right.request;
  if (leftRoute.priority !== rightRoute.priority) {
    return leftRoute.priority < rightRoute.priority;
  }
  return (
    left.request.deadlineAtMilliseconds < right.request.deadlineAtMilliseconds
  );
}

/** Another node takes the request as soon as it comes. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 100;

function createStoppingRefusal(progress: FleetProgress): RefusalError {
  return new RefusalError(ErrorKind.NOT_READY, 'this node is about to stop', {
    ran: ranSoFar(progress),
    retryAfterMilliseconds: STOPPING_RETRY_AFTER_MILLISECONDS,
  });
}

const KIND_BY_REASON: Readonly<Record<NoChoice, ErrorKind>> = {
  [NoChoice.NOT_HELD]: ErrorKind.NO_REPLICA,
  [NoChoice.FULL]: ErrorKind.DEADLINE_UNREACHABLE,
};

function createNoSlotRefusal(
  progress: FleetProgress,
  reason: NoChoice,
  wait: number | undefined,
): RefusalError {
  const {request} = progress;
  return new RefusalError(
    KIND_BY_REASON[reason],
    `no place at ${request.service} in time: ${reason}`,
    {
      ran: ranSoFar(progress),
      retryAfterMilliseconds: wait || DEFAULT_RETRY_AFTER_MILLISECONDS,
    },
  );
}
