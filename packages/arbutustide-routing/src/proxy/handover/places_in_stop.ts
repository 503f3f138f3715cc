import type {AnswerPeriod} from '../answer_period.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {HandoverPlaces} from './handover_places.js';
import type {OpenStream} from './open_stream.js';

import {delay} from '@arbutustide/errors';

import {untilCancelled} from '../request_cancellation.js';
import {isRepeatable} from '../route.js';
import {remainingForUpstream} from '../routed_request_progress.js';
import {MINIMUM_LEFT_MILLISECONDS} from './handover_decision.js';
import {isOpen} from './handover_places.js';

/** Where a stream can go on whose attempt has ended. */
export interface PlaceInStop {
  readonly slot: AttemptSlot;
  /** Copy of memory that its run goes on from; undefined to read it anew. */
  readonly memoryLocation?: string;
}

/** Places of a stream, one after another, until none can help it any more. */
export type PlacesOfStream = AsyncGenerator<PlaceInStop, void, undefined>;

/** Memory of a stopped run, and the upstreams that hold it. */
export interface StoppedRun {
  readonly memoryLocation: string | undefined;
  readonly holders: readonly ProxyUpstream[];
}

/**
 * Pauses between two tries of one stream. They become longer, so that an upstream
 * which refuses at once does not use up the retries of other streams.
 */
const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 800;

/**
 * Finds places for streams of a node that stops whose attempts have ended. Such a
 * stream has no upstream that it could stay at, so that it is lost with the last
 * place that is tried.
 */
export class PlacesInStop {
  constructor(
    private readonly places: HandoverPlaces,
    private readonly answerPeriod: AnswerPeriod,
  ) {}

  /**
   * Urgent places for a stream that is read anew, each with its retry. They end
   * with the paths of this node: a peer may still have one.
   */
  async *findUrgent(stream: OpenStream): PlacesOfStream {
    for await (const _try of this.triesOf(stream)) {
      const slot = this.places.takeUrgent(stream);
      if (!slot) return;
      if (this.places.consumeRetry(stream, slot)) yield {slot};
    }
  }

  /**
   * Places for a run that was stopped, after the first of its holders has refused
   * it: the others, then all that may be tried.
   */
  async *findForStoppedRun(
    stream: OpenStream,
    {memoryLocation, holders}: StoppedRun,
  ): PlacesOfStream {
    const {progress} = stream;
    for (const holder of holders.slice(1))
      yield {slot: this.places.takeAt(progress, holder), memoryLocation};
    if (isRepeatable(progress.request.route)) yield* this.findUrgent(stream);
    else yield* this.findWithMemory(stream, {memoryLocation, holders});
  }

  /** The upstreams that hold its memory by turns, each time with a retry. */
  private async *findWithMemory(
    stream: OpenStream,
    {memoryLocation, holders}: StoppedRun,
  ): PlacesOfStream {
    let tryCount = 0;
    for await (const _try of this.triesOf(stream)) {
      tryCount += 1;
      // All have refused it just now.
      if (tryCount === 1) continue;
      const holder = holders[tryCount % holders.length];
      if (!isOpen(holder)) continue;
      const slot = this.places.takeAt(stream.progress, holder);
      if (this.places.consumeRetry(stream, slot)) yield {slot, memoryLocation};
    }
  }

  /** Yields for each try that is due, as long as the stream can go on in time. */
  private async *triesOf(
    stream: OpenStream,
  ): AsyncGenerator<void, void, undefined> {
    const {progress} = stream;
    let pause = FIRST_PAUSE_MILLISECONDS;
    while (this.canGoOn(stream)) {
      yield;
      await Promise.race([delay(pause), untilCancelled(progress)]);
      pause = Math.min(2 * pause, LONGEST_PAUSE_MILLISECONDS);
    }
  }

  private canGoOn({progress, isClosed}: OpenStream): boolean {
    const {answerPeriod} = this;
    if (answerPeriod.endsAtMilliseconds === Infinity) return false;
    if (isClosed || progress.cancellation.isCancelled) return false;
    const left = remainingForUpstream(progress, answerPeriod);
    return left >= MINIMUM_LEFT_MILLISECONDS;
  }
}
