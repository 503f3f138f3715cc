import type {RefusalError} from '@arbutustide/errors';

import type {PendingAdmission} from '../brittleness/upstream_admission.js';
import type {NoUpstreamReason, UpstreamChoice} from '../choose_upstream.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequest} from '../routed_request.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {EarlyRefusal} from './early_refusal.js';
import type {ServiceOrder} from './service_order.js';

/** Notified of each request's state in the queue. */
export interface SlotQueueObserver {
  recordQueued(request: RoutedRequest): void;
  recordSlotTaken(request: RoutedRequest): void;
  recordEnded(request: RoutedRequest, hadSlot: boolean): void;
}

/** Terms of the choice of an upstream for one request. */
export interface ChoiceTerms {
  /** An urgent request may go to an upstream whose slots are taken. */
  readonly isUrgent?: boolean;
  /** The upstreams that it may go to; those not yet tried if absent. */
  readonly isCandidate?: (upstream: ProxyUpstream) => boolean;
}

/** Policies and callbacks of a slot queue. */
export interface SlotQueueOptions {
  /** Chooses among the upstreams as they are now. */
  readonly chooseUpstream: (
    progress: RoutedRequestProgress,
    terms?: ChoiceTerms,
  ) => UpstreamChoice;
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
  /** Undefined to serve by priority and then deadline. */
  readonly order?: ServiceOrder;
  /**
   * The refusal of a request that could not end before this node stops if it
   * got a slot after this wait; undefined if it could. Always, if absent.
   */
  readonly refuseLate?: (
    progress: RoutedRequestProgress,
    waitMilliseconds: number,
  ) => RefusalError | undefined;
  /** Undefined to let requests wait for as long as their callers do. */
  readonly earlyRefusal?: EarlyRefusal;
  /** Called when a request that an upstream accepted returns its slot. */
  readonly onSlotReturned?: (
    request: RoutedRequest,
    heldMilliseconds: number,
    upstream: ProxyUpstream,
    isWhole: boolean,
  ) => void;
}

/** A reserved slot: permits one request in flight at an upstream. */
export interface UpstreamSlot {
  readonly upstream: ProxyUpstream;
  readonly admission: PendingAdmission;
  /** Time that the request was queued, in milliseconds. */
  readonly waitedMilliseconds: number;
  /**
   * Returns the slot; idempotent.
   *
   * @param isWhole whether the upstream has answered the request from its
   *     beginning to its end.
   */
  release(isWhole?: boolean): void;
}
