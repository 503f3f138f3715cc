import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {MemoryCopy, MemoryMove, MemoryMover} from './memory_mover.js';
import type {OpenStream} from './open_stream.js';

import {delay} from '@arbutustide/errors';

import {isRepeatable} from '../route.js';
import {MINIMUM_LEFT_MILLISECONDS} from './handover_decision.js';
import {MemoryMoveOutcome} from './memory_mover.js';

/** What became of a move, and the slot at the last upstream that was asked. */
export interface RunMove {
  readonly slot: AttemptSlot;
  readonly move: MemoryMove;
  /** Upstreams that were asked for room, in order. */
  readonly askedUpstreams: readonly ProxyUpstream[];
  /** Where a run that may have stopped can go on from. */
  readonly copyLocation?: string;
}

/** A copy at the upstream of a slot, or why there is none. */
interface PlacedCopy extends MemoryCopy {
  readonly slot: AttemptSlot;
  readonly askedUpstreams: readonly ProxyUpstream[];
}

/**
 * Share of the time that is left in which the copy of a run must come that may
 * run again elsewhere.
 */
const COPY_TIME_SHARE = 0.25;

/**
 * Moves runs between upstreams. A run is stopped only once another upstream has a
 * copy of its memory and keeps a place for it; until then it goes on.
 */
export class RunMoves {
  constructor(
    private readonly memoryMover: MemoryMover,
    private readonly attempts: Pick<AttemptMaker, 'tryTakeSlotAmong'>,
  ) {}

  /**
   * @param first slot at the upstream that is asked first.
   * @param leftMilliseconds time that is left for the stream.
   */
  async move(
    stream: OpenStream,
    source: ProxyUpstream,
    first: AttemptSlot,
    leftMilliseconds: number,
  ): Promise<RunMove> {
    const {lastEventId, progress} = stream;
    const {requestId} = progress.request;
    const {slot, failure, location, reason, askedUpstreams} = await this.copy(
      stream,
      source,
      first,
      leftMilliseconds,
    );
    const target = slot.target.upstream;
    if (failure || !target)
      return {
        slot,
        move: {outcome: failure ?? MemoryMoveOutcome.NO_ROOM, reason},
        askedUpstreams,
      };
    const isNeeded = stream.lastEventId === lastEventId && !stream.isClosed;
    if (isNeeded) {
      const {memoryMover} = this;
      const move = await memoryMover.moveMemory(source, target, requestId);
      return {slot, move, askedUpstreams, copyLocation: location};
    }
    this.dropCopy(source, location);
    const move = {outcome: MemoryMoveOutcome.NOT_NEEDED};
    return {slot, move, askedUpstreams};
  }

  /**
   * Stops a run without a copy of its memory elsewhere.
   *
   * @param slot at the upstream that the memory is copied to if it has room.
   * @param leftMilliseconds time that is left for the stream.
   */
  async stop(
    {progress}: OpenStream,
    source: ProxyUpstream,
    slot: AttemptSlot,
    leftMilliseconds: number,
  ): Promise<RunMove> {
    const target = slot.target.upstream;
    if (!target)
      return {
        slot,
        move: {outcome: MemoryMoveOutcome.NO_ROOM},
        askedUpstreams: [],
      };
    const move = await this.memoryMover.moveMemory(
      source,
      target,
      progress.request.requestId,
      leftMilliseconds,
    );
    return {slot, move, askedUpstreams: [target]};
  }

  /** Gives up a copy that no run goes on from, if there is one. */
  dropCopy(source: ProxyUpstream, location: string | undefined): void {
    if (location !== undefined)
      void this.memoryMover.dropCopy(source, location);
  }

  /** Copies memory to one upstream after another until one has room. */
  private async copy(
    stream: OpenStream,
    source: ProxyUpstream,
    first: AttemptSlot,
    leftMilliseconds: number,
  ): Promise<PlacedCopy> {
    const {progress} = stream;
    const {route, requestId} = progress.request;
    const limitMilliseconds = isRepeatable(route)
      ? COPY_TIME_SHARE * leftMilliseconds
      : leftMilliseconds - MINIMUM_LEFT_MILLISECONDS;
    const askedUpstreams: ProxyUpstream[] = [];
    let slot = first;
    for (;;) {
      const target = slot.target.upstream;
      if (!target)
        return {slot, failure: MemoryMoveOutcome.NO_ROOM, askedUpstreams};
      askedUpstreams.push(target);
      const copy = await this.copyInTime(
        this.memoryMover.copyMemory(
          source,
          target,
          requestId,
          leftMilliseconds,
        ),
        source,
        limitMilliseconds,
      );
      if (copy.failure !== MemoryMoveOutcome.NO_ROOM)
        return {...copy, slot, askedUpstreams};
      const next = stream.isClosed
        ? undefined
        : this.attempts.tryTakeSlotAmong(
            progress,
            upstream =>
              upstream !== source && !askedUpstreams.includes(upstream),
          );
      if (!next) return {...copy, slot, askedUpstreams};
      slot.release();
      slot = next;
    }
  }

  /** A copy that comes too late is given up, for others to have its place. */
  private async copyInTime(
    copying: Promise<MemoryCopy>,
    source: ProxyUpstream,
    limitMilliseconds: number,
  ): Promise<MemoryCopy> {
    const limit = new AbortController();
    const copy = await Promise.race([
      copying,
      delay(limitMilliseconds, limit.signal).then(() => undefined),
    ]);
    limit.abort();
    if (copy) return copy;
    void copying.then(({location}) => this.dropCopy(source, location));
    return {failure: MemoryMoveOutcome.TOO_SLOW};
  }
}
