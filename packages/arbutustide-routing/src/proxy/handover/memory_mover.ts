import type {ProxyUpstream} from '../proxy_upstream.js';

/** What became of a run whose memory was to be moved. */
export enum MemoryMoveOutcome {
  /** The run has stopped and can go on from the copy at the target. */
  MOVED = 'moved',
  /** The run has stopped, and only its source holds the memory. */
  KEPT_AT_SOURCE = 'kept_at_source',
  /** The source moves it already. */
  BUSY = 'busy',
  /** The run goes on: the source does not know it or moves no memory. */
  IMPOSSIBLE = 'impossible',
  /** There was no answer, so the run may have stopped. */
  UNKNOWN = 'unknown',
}

/** Whether a run has stopped for a move, and goes on from its memory. */
export function hasRunStopped(outcome: MemoryMoveOutcome): boolean {
  return (
    outcome === MemoryMoveOutcome.MOVED ||
    outcome === MemoryMoveOutcome.KEPT_AT_SOURCE
  );
}

/** Result of moving the memory of a run. */
export interface MemoryMove {
  readonly outcome: MemoryMoveOutcome;
  /** Where the run can go on from, if it has stopped. */
  readonly location?: string;
  /** Why the run goes on where it is, or what became of it is not known. */
  readonly reason?: string;
}

/** Moves the memory of runs from one upstream to another. */
export interface MemoryMover {
  /** Stops the run of a request and copies its memory to another upstream. */
  moveMemory(
    source: ProxyUpstream,
    target: ProxyUpstream,
    requestId: string,
  ): Promise<MemoryMove>;
}
