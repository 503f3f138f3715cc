import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {ProxyUpstream} from '../proxy_upstream.js';
import type {MemoryCopy, MemoryMove, MemoryMover} from './memory_mover.js';
import type {OpenStream} from './open_stream.js';

import {MemoryMoveOutcome} from './memory_mover.js';

/** What became of a move, and the slot at the last upstream that was asked. */
export interface RunMove {
  readonly slot: AttemptSlot;
  readonly move: MemoryMove;
  /** Where a run that may have stopped can go on from. */
  readonly copyLocation?: string;
}

/** A copy at the upstream of a slot, or why there is none. */
interface PlacedCopy extends MemoryCopy {
  readonly slot: AttemptSlot;
}

/**
 * Moves runs between upstreams. A run is stopped only once another upstream has a
 * copy of its memory and keeps a place for it; until then it goes on.
 */
export class RunMoves {
  constructor(
    private readonly memoryMover: MemoryMover,
    private readonly attempts: Pick<AttemptMaker, 'tryTakeSlotAmong'>,
  ) {}

  /** @param first slot at the upstream that is asked first. */
  async move(
    stream: OpenStream,
    source: ProxyUpstream,
    first: AttemptSlot,
  ): Promise<RunMove> {
    const {lastEventId, progress} = stream;
    const {requestId} = progress.request;
    const {slot, failure, location, reason} = await this.copy(
      stream,
      source,
      first,
    );
    const target = slot.target.upstream;
    if (failure || !target)
      return {
        slot,
        move: {outcome: failure ?? MemoryMoveOutcome.NO_ROOM, reason},
      };
    const isNeeded = stream.lastEventId === lastEventId && !stream.isClosed;
    if (isNeeded) {
      const {memoryMover} = this;
      const move = await memoryMover.moveMemory(source, target, requestId);
      return {slot, move, copyLocation: location};
    }
    this.dropCopy(source, location);
    return {slot, move: {outcome: MemoryMoveOutcome.NOT_NEEDED}};
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
  ): Promise<PlacedCopy> {
    const {progress} = stream;
    const {requestId} = progress.request;
    const asked = new Set([source]);
    let slot = first;
    for (;;) {
      const target = slot.target.upstream;
      if (!target) return {slot, failure: MemoryMoveOutcome.NO_ROOM};
      asked.add(target);
      const copy = await this.memoryMover.copyMemory(source, target, requestId);
      if (copy.failure !== MemoryMoveOutcome.NO_ROOM) return {...copy, slot};
      const next = stream.isClosed
        ? undefined
        : this.attempts.tryTakeSlotAmong(
            progress,
            upstream => !asked.has(upstream),
          );
      if (!next) return {...copy, slot};
      slot.release();
      slot = next;
    }
  }
}
