import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {NoUpstreamReason} from '../choose_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Prospect} from './early_refusal.js';
import type {UpstreamSlot} from './slot_queue_options.js';

/** The slot of a request, or why it gets none. */
export type SlotResult = Result<UpstreamSlot, RefusalError>;

/** A request in the queue. */
export interface Waiter {
  readonly progress: RoutedRequestProgress;
  readonly queuedAtMilliseconds: number;
  /** Undefined until its wait depends on slots that come free. */
  prospect: Prospect | undefined;
  isQueued: boolean;
  /** Why it got no slot when it last looked for one. */
  reason: NoUpstreamReason;
  readonly settle: (result: SlotResult) => void;
}

/** Requests with the same requirements that found no slot in a scan. */
export interface BlockedRequests {
  count: number;
  readonly reason: NoUpstreamReason;
}
