import type {ProxyUpstream} from '../proxy_upstream.js';
import type {Handover} from './handover.js';

import {MemoryMoveOutcome} from './memory_mover.js';

/** A move of memory that was not answered, and whose copy can be used. */
export interface UncertainMove {
  /** Goes on from the copy, if the run has stopped. */
  readonly handover: Handover;
  /** Gives up the copy, as the run goes on. */
  readonly giveUp: () => void;
}

/** What became of the moves of one stream since its last event. */
export class StreamMoves {
  private failedAtMilliseconds = -Infinity;
  private upstreamWithoutRoom: ProxyUpstream | undefined;
  private isOutcomeUnknown = false;
  /** Undefined if there is none, or no copy that the stream can go on from. */
  private uncertainMove: UncertainMove | undefined;

  /** Since a move failed whose run went on; Infinity if none has. */
  get sinceFailedMilliseconds(): number {
    return performance.now() - this.failedAtMilliseconds;
  }

  /** The last one that had no room for its memory; undefined if none. */
  get fullUpstream(): ProxyUpstream | undefined {
    return this.upstreamWithoutRoom;
  }

  /** Whether its run may have stopped for a move whose answer was lost. */
  get mayHaveMoved(): boolean {
    return this.isOutcomeUnknown;
  }

  get hasUsableCopy(): boolean {
    return this.uncertainMove !== undefined;
  }

  /** Records that events have come, so that the run has not been stopped. */
  recordEvents(): void {
    this.upstreamWithoutRoom = undefined;
    this.isOutcomeUnknown = false;
    this.giveUpUncertain();
  }

  /**
   * Records that the run goes on where it is, or may have stopped.
   *
   * @param target the last upstream that was asked for room.
   */
  recordFailed(outcome: MemoryMoveOutcome, target?: ProxyUpstream): void {
    if (outcome !== MemoryMoveOutcome.BUSY)
      this.failedAtMilliseconds = performance.now();
    if (outcome === MemoryMoveOutcome.NO_ROOM)
      this.upstreamWithoutRoom = target;
    if (outcome === MemoryMoveOutcome.UNKNOWN) this.isOutcomeUnknown = true;
  }

  /** Records the copy of a move after which the run may have stopped. */
  recordUncertain(move: UncertainMove): void {
    this.giveUpUncertain();
    this.uncertainMove = move;
  }

  /** The handover to the copy of an uncertain move, which is not given up. */
  takeUncertain(): Handover | undefined {
    const handover = this.uncertainMove?.handover;
    this.uncertainMove = undefined;
    return handover;
  }

  giveUpUncertain(): void {
    this.uncertainMove?.giveUp();
    this.takeUncertain()?.release();
  }
}
