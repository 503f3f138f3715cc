import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {OpenStream} from './open_stream.js';

import {compatibleUpstreams, utilization} from '../choose_upstream.js';
import {mayReachFurtherUpstream} from '../routed_request_progress.js';

/** What handovers take places and retries from. */
export type PlaceProvider = Pick<
  AttemptMaker,
  'tryTakeSlot' | 'tryTakeEarlierSlot' | 'takeSlotAt' | 'tryConsumeRetry'
>;

/** Whether an upstream takes requests, and this node has a path to it. */
export function isOpen({isReady, reachability}: ProxyUpstream): boolean {
  return isReady && !reachability.isLost;
}

/** Whether a stream can go on urgently at an engine, however full it is. */
function canTakeUrgent(
  upstream: ProxyUpstream,
  {request: {modelRequest}}: RoutedRequestProgress,
): boolean {
  const {rateLimit, isEjected, remainingBackOffMilliseconds} = upstream;
  return (
    isOpen(upstream) &&
    modelRequest !== undefined &&
    upstream.canServe(modelRequest) &&
    rateLimit.allowsRequest &&
    !isEjected &&
    remainingBackOffMilliseconds === 0
  );
}

/** Finds places for streams that are handed over. */
export class HandoverPlaces {
  constructor(private readonly provider: PlaceProvider) {}

  /** A slot at one more upstream, if the route allows it. */
  tryTakeFurther(progress: RoutedRequestProgress): AttemptSlot | undefined {
    return mayReachFurtherUpstream(progress)
      ? this.provider.tryTakeSlot(progress)
      : undefined;
  }

  /** A slot at an upstream where the stream was before. */
  tryTakeEarlier({progress, upstream}: OpenStream): AttemptSlot | undefined {
    return this.provider.tryTakeEarlierSlot(progress, upstream);
  }

  /**
   * The same also at one that counts as full: an engine admits an urgent request
   * before all that wait there.
   */
  takeEarlier(stream: OpenStream): AttemptSlot | undefined {
    const slot = this.tryTakeEarlier(stream);
    if (slot) return slot;
    const {progress, upstream} = stream;
    const {triedUpstreams} = progress;
    const [leastLoaded] = [...compatibleUpstreams(triedUpstreams, progress)]
      .filter(tried => tried !== upstream && canTakeUrgent(tried, progress))
      .sort((left, right) => utilization(left) - utilization(right));
    return leastLoaded && this.takeAt(progress, leastLoaded);
  }

  /** A slot where the stream is, unless it is urgent there or at a peer. */
  takeAgain({
    progress,
    upstream,
    handoverInput,
  }: OpenStream): AttemptSlot | undefined {
    if (!upstream || handoverInput.isUrgent) return undefined;
    return this.provider.takeSlotAt(progress, upstream);
  }

  /**
   * A slot at one more upstream, at an earlier one, or at the last one; undefined
   * if none takes requests of this node, or the stream was at a peer.
   */
  takeUrgent(stream: OpenStream): AttemptSlot | undefined {
    const {progress, upstream} = stream;
    const other = this.tryTakeFurther(progress) ?? this.takeEarlier(stream);
    if (other || !upstream || !isOpen(upstream)) return other;
    return this.takeAt(progress, upstream);
  }

  /** A slot at this upstream, whether it has a free one or not. */
  takeAt(
    progress: RoutedRequestProgress,
    upstream: ProxyUpstream,
  ): AttemptSlot {
    return this.provider.takeSlotAt(progress, upstream);
  }

  /** A slot where the stream is, with the retry for an attempt there. */
  takeAgainWithRetry(stream: OpenStream): AttemptSlot | undefined {
    const {progress, upstream} = stream;
    if (!upstream) return undefined;
    const slot = this.provider.takeSlotAt(progress, upstream);
    return this.consumeRetry(stream, slot) ? slot : undefined;
  }

  /** Consumes a retry of the budget; returns the slot if there is none. */
  consumeRetry(stream: OpenStream, slot: AttemptSlot): boolean {
    if (stream.takeReservedRetry()) return true;
    if (this.provider.tryConsumeRetry(stream.progress, true)) return true;
    slot.release();
    return false;
  }
}
